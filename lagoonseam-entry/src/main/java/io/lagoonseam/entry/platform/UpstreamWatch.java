package io.lagoonseam.entry.platform;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.membership.LeavingUpstreams;
import io.lagoonseam.core.membership.Member;
import io.lagoonseam.core.membership.MemberDirectory;
import io.lagoonseam.core.membership.RoleHolders;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.platform.VmEntry;
import io.lagoonseam.core.platform.VmList;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.wire.LeavingUpstreamsCodec;
import io.lagoonseam.wire.MessageTypes;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Detects upstreams that are leaving or have disappeared. Two nodes of the data centre read the VM list and send
 * changes to the others until each of them has confirmed the latest view.
 */
public final class UpstreamWatch {

    private static final String ROLE = "vm-list";
    private static final int READER_COUNT = 2;
    private static final long NOTIFY_TIMEOUT_MILLIS = 500;
    private static final byte[] CONFIRMATION = new byte[0];

    private final Environment environment;
    private final LeavingUpstreams leaving = new LeavingUpstreams();
    /** The version of the view that a process of a member confirmed last. */
    private final Map<String, Long> confirmedByMember = new ConcurrentHashMap<>();

    private final AtomicBoolean readInProgress = new AtomicBoolean();
    private final AtomicBoolean platformUnreachable = new AtomicBoolean();
    /** The upstreams that are leaving and whose event was recorded. Guarded by this object. */
    private Set<String> recordedNames = Set.of();

    /**
     * The dependencies of a watch.
     *
     * @param vmList reads the platform's list of VMs
     * @param members the members of the data centre
     * @param transport sends messages to the members
     * @param upstreams supplies the names of the configured upstreams
     * @param onLeaving receives the names of all upstreams that get no new work, also when they are unchanged
     * @param time the clocks
     * @param events the sink of numbered events
     */
    public record Environment(
            VmList vmList,
            MemberDirectory members,
            PeerTransport transport,
            Supplier<Set<String>> upstreams,
            Consumer<Set<String>> onLeaving,
            TimeSource time,
            EventSink events) {}

    /**
     * Creates a watch.
     *
     * @param environment the dependencies
     */
    public UpstreamWatch(Environment environment) {
        this.environment = environment;
        environment.transport().register(MessageTypes.LEAVING_UPSTREAMS, this::onView);
    }

    private CompletionStage<byte[]> onView(String senderId, byte[] payload) {
        leaving.mergeView(senderId, LeavingUpstreamsCodec.decode(payload));
        publish();
        return CompletableFuture.completedFuture(CONFIRMATION);
    }

    /** Reads the VM list if this node is one of its readers. Called about once a second. */
    public void tick() {
        List<Member> readers = RoleHolders.holders(environment.members().liveMembers(), ROLE, READER_COUNT);
        leaving.setReaders(readers.stream().map(Member::nodeId).collect(Collectors.toSet()));
        String selfId = environment.members().self().nodeId();
        boolean isReader = readers.stream().anyMatch(reader -> reader.nodeId().equals(selfId));
        if (isReader && readInProgress.compareAndSet(false, true)) {
            environment.vmList().listVms().whenComplete((vms, failure) -> {
                readInProgress.set(false);
                if (failure == null) {
                    platformUnreachable.set(false);
                    onVmList(selfId, vms);
                } else if (platformUnreachable.compareAndSet(false, true)) {
                    environment.events().record(EventCode.PLATFORM_UNREACHABLE, "VM list: " + failure.getMessage());
                }
            });
        }
        publish();
    }

    private void onVmList(String selfId, List<VmEntry> vms) {
        LeavingUpstreams.View view = leaving.updateOwnView(
                selfId, vms, environment.upstreams().get(), environment.time().wallMillis());
        publish();
        List<Member> others = environment.members().liveMembers().stream()
                .filter(member -> !member.nodeId().equals(selfId))
                .toList();
        confirmedByMember
                .keySet()
                .retainAll(others.stream().map(UpstreamWatch::processId).toList());
        byte[] encoded = LeavingUpstreamsCodec.encode(view);
        others.stream()
                .filter(member -> confirmedByMember.getOrDefault(processId(member), 0L) != view.version())
                .forEach(member -> sendView(member, view.version(), encoded));
    }

    /** Identifies one process of a member, so that the view is sent again after a restart. */
    private static String processId(Member member) {
        return member.nodeId() + "@" + member.host() + ":" + member.port();
    }

    private void sendView(Member member, long version, byte[] encoded) {
        environment
                .transport()
                .request(member.nodeId(), MessageTypes.LEAVING_UPSTREAMS, encoded, NOTIFY_TIMEOUT_MILLIS)
                .thenAccept(reply -> {
                    if (reply instanceof PeerReply.Answered) {
                        confirmedByMember.put(processId(member), version);
                    }
                });
    }

    /**
     * Records whether an upstream accepts connections.
     *
     * @param name the name of the upstream
     * @param accepts whether the last connection attempt succeeded
     */
    public void recordConnectionResult(String name, boolean accepts) {
        if (leaving.recordConnectionResult(name, accepts)) {
            publish();
        }
    }

    /**
     * Records whether an upstream has announced that it is leaving.
     *
     * @param name the name of the upstream
     * @param leaves whether it announces that it is leaving
     */
    public void recordAnnouncement(String name, boolean leaves) {
        if (leaving.recordAnnouncement(name, leaves)) {
            publish();
        }
    }

    /**
     * Returns the upstreams that get no new work.
     *
     * @return the names of the upstreams
     */
    public Set<String> leavingUpstreams() {
        return leaving.names();
    }

    private void publish() {
        Set<String> names = leaving.names();
        environment.onLeaving().accept(names);
        Set<String> added = new TreeSet<>(names);
        synchronized (this) {
            added.removeAll(recordedNames);
            recordedNames = new HashSet<>(names);
        }
        added.forEach(name -> environment.events().record(EventCode.UPSTREAM_LEAVING, name));
    }
}
