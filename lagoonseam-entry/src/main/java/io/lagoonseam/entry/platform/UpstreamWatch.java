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
import io.lagoonseam.wire.MessageTypes;
import io.lagoonseam.wire.UpstreamSignsCodec;
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
 * Finds upstreams that are leaving or have vanished: two nodes of the data centre read the VM list and tell the others
 * what has changed, until each has confirmed it.
 */
public final class UpstreamWatch {

    private static final String ROLE = "vm-list";
    private static final int READERS = 2;
    private static final long TELL_TIMEOUT_MILLIS = 500;
    private static final byte[] CONFIRMED = new byte[0];

    private final Environment environment;
    private final LeavingUpstreams leaving = new LeavingUpstreams();
    private final Map<String, Long> confirmedByMember = new ConcurrentHashMap<>();
    private final AtomicBoolean reading = new AtomicBoolean();
    private final AtomicBoolean unreachable = new AtomicBoolean();
    private Set<String> told = Set.of();

    /**
     * What a watch works with.
     *
     * @param vmList the platform's list of VMs
     * @param members the members of the data centre
     * @param transport sends to them
     * @param upstreams gives the names of the configured upstreams
     * @param apply receives the names of all upstreams that get no new work
     * @param time the clocks
     * @param events the sink of numbered events
     */
    public record Environment(
            VmList vmList,
            MemberDirectory members,
            PeerTransport transport,
            Supplier<Set<String>> upstreams,
            Consumer<Set<String>> apply,
            TimeSource time,
            EventSink events) {}

    /**
     * Creates a watch.
     *
     * @param environment what it works with
     */
    public UpstreamWatch(Environment environment) {
        this.environment = environment;
        environment.transport().register(MessageTypes.UPSTREAM_SIGNS, this::hear);
    }

    private CompletionStage<byte[]> hear(String senderId, byte[] payload) {
        leaving.heard(senderId, UpstreamSignsCodec.decode(payload));
        apply();
        return CompletableFuture.completedFuture(CONFIRMED);
    }

    /** Reads the VM list if this node is one of its readers; called about once a second. */
    public void tick() {
        List<Member> readers = RoleHolders.holders(environment.members().liveMembers(), ROLE, READERS);
        leaving.readers(readers.stream().map(Member::nodeId).collect(Collectors.toSet()));
        String selfId = environment.members().self().nodeId();
        boolean reads = readers.stream().anyMatch(reader -> reader.nodeId().equals(selfId));
        if (reads && reading.compareAndSet(false, true)) {
            environment.vmList().listVms().whenComplete((vms, failure) -> {
                reading.set(false);
                if (failure == null) {
                    unreachable.set(false);
                    took(selfId, vms);
                } else if (unreachable.compareAndSet(false, true)) {
                    environment.events().record(EventCode.PLATFORM_UNREACHABLE, "VM list: " + failure.getMessage());
                }
            });
        }
        apply();
    }

    private void took(String selfId, List<VmEntry> vms) {
        LeavingUpstreams.View view = leaving.read(
                selfId, vms, environment.upstreams().get(), environment.time().wallMillis());
        apply();
        List<Member> others = environment.members().liveMembers().stream()
                .filter(member -> !member.nodeId().equals(selfId))
                .toList();
        confirmedByMember
                .keySet()
                .retainAll(others.stream().map(UpstreamWatch::process).toList());
        byte[] encoded = UpstreamSignsCodec.encode(view);
        others.stream()
                .filter(member -> confirmedByMember.getOrDefault(process(member), 0L) != view.version())
                .forEach(member -> tell(member, view.version(), encoded));
    }

    /** One process of a member: after a restart everything is told again. */
    private static String process(Member member) {
        return member.nodeId() + "@" + member.host() + ":" + member.port();
    }

    private void tell(Member member, long version, byte[] encoded) {
        environment
                .transport()
                .request(member.nodeId(), MessageTypes.UPSTREAM_SIGNS, encoded, TELL_TIMEOUT_MILLIS)
                .thenAccept(reply -> {
                    if (reply instanceof PeerReply.Answered) {
                        confirmedByMember.put(process(member), version);
                    }
                });
    }

    /**
     * Takes in whether an upstream accepts connections.
     *
     * @param name the upstream
     * @param accepts whether the last connection was made
     */
    public void connected(String name, boolean accepts) {
        if (leaving.connected(name, accepts)) {
            apply();
        }
    }

    /**
     * Takes in what an upstream says of itself.
     *
     * @param name the upstream
     * @param leaves whether it announces that it leaves
     */
    public void announced(String name, boolean leaves) {
        if (leaving.announced(name, leaves)) {
            apply();
        }
    }

    /**
     * Returns the upstreams that get no new work.
     *
     * @return their names
     */
    public Set<String> leavingUpstreams() {
        return leaving.names();
    }

    private void apply() {
        Set<String> names = leaving.names();
        environment.apply().accept(names);
        Set<String> added = new TreeSet<>(names);
        synchronized (this) {
            added.removeAll(told);
            told = new HashSet<>(names);
        }
        added.forEach(name -> environment.events().record(EventCode.UPSTREAM_LEAVING, name));
    }
}
