package io.lagoonseam.core.membership;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.lock.LockRank;
import io.lagoonseam.core.lock.RankedLock;
import io.lagoonseam.core.peer.PeerReply;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * SWIM-style failure detector for the nodes of one data centre. Each node probes one other member at fixed intervals.
 * If the member does not answer, some others are asked for indirect probes; if these fail too, the member is suspected,
 * and it is considered dead if it does not refute the suspicion within the suspicion timeout. A leaving member is
 * considered dead without suspicion. Membership updates are disseminated by gossip, piggybacked on the probes.
 * Thread-safe.
 */
public final class DefaultMemberDirectory implements MemberDirectory {

    /** Probe intervals without a tick after which this process is considered to have been paused. */
    private static final int PAUSE_PROBE_INTERVALS = 3;

    /** Probes after which tables are exchanged with one dead member, to detect its return or the end of a partition. */
    private static final int PROBES_PER_DEAD_EXCHANGE = 10;

    private static final int LEAVE_TARGETS = 5;
    private static final Set<MemberState> PROBED_STATES =
            EnumSet.of(MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING);
    private static final Set<MemberState> ALIVE_STATES = EnumSet.of(MemberState.ALIVE);
    private static final Set<MemberState> DEAD_STATES = EnumSet.of(MemberState.DEAD);

    private final RankedLock lock = new RankedLock(LockRank.MEMBERSHIP);
    private final MembershipEnvironment environment;
    private final MembershipTimings timings;
    private final MemberTable table;
    private final Deque<String> probeOrder = new ArrayDeque<>();
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private final AtomicBoolean open = new AtomicBoolean();
    private volatile List<Member> live;
    private volatile Member self;
    private volatile Map<String, Member> membersById = Map.of();
    private long lastTickMillis;
    private long nextProbeMillis;
    private long nextExchangeMillis;
    private long exchangeDelayMillis;
    private int probeCount;

    /**
     * Creates a directory that contains only this node.
     *
     * @param self this node; its port may still be 0
     * @param environment the services that the directory uses
     */
    public DefaultMemberDirectory(Member self, MembershipEnvironment environment) {
        this.environment = environment;
        this.timings = environment.timings();
        this.table = new MemberTable(self);
        this.self = self;
        this.live = List.of(self);
    }

    private record Outgoing(Member target, MembershipMessage message) {}

    /**
     * Starts to answer probes; {@link #tick()} has no effect before this call.
     *
     * @param port the port at which peers reach this node
     */
    public void open(int port) {
        lock.run(() -> {
            Member old = table.self();
            table.replaceSelf(
                    new Member(old.nodeId(), old.dataCentre(), old.host(), port, old.incarnation(), MemberState.ALIVE));
            lastTickMillis = nowMillis();
            nextProbeMillis = lastTickMillis + jitter(timings.probeIntervalMillis());
            exchangeDelayMillis = timings.probeIntervalMillis();
            nextExchangeMillis = lastTickMillis + 1 + jitter(exchangeDelayMillis);
        });
        publish();
        environment.transport().register(MembershipTypes.PROBE, this::answerProbe);
        environment.transport().register(MembershipTypes.INDIRECT_PROBE, this::answerIndirectProbe);
        environment.transport().register(MembershipTypes.EXCHANGE, this::answerExchange);
        open.set(true);
    }

    /** Stops sending and answering probes, without announcing that this node leaves. */
    public void close() {
        open.set(false);
    }

    @Override
    public Member self() {
        return self;
    }

    @Override
    public List<Member> liveMembers() {
        return live;
    }

    @Override
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Returns all members, including this node and dead members.
     *
     * @return the members in no particular order
     */
    public List<Member> allMembers() {
        return List.copyOf(membersById.values());
    }

    /**
     * Finds a member by id.
     *
     * @param nodeId the id of the node
     * @return the member, or empty if it is unknown
     */
    public Optional<Member> find(String nodeId) {
        return Optional.ofNullable(membersById.get(nodeId));
    }

    /**
     * Exchanges full membership tables with a node, to join or to merge after a network partition.
     *
     * @param peer the node, which need not be a member yet; the transport must know the address of a non-member
     * @return completes with whether the node answered
     */
    public CompletionStage<Boolean> exchange(Member peer) {
        MembershipMessage message = lock.call(this::fullTable);
        return send(peer.nodeId(), MembershipTypes.EXCHANGE, message, timings.indirectTimeoutMillis() * 2)
                .thenApply(answer -> {
                    answer.ifPresent(received -> merge(peer.nodeId(), received));
                    return answer.isPresent();
                });
    }

    /**
     * Announces that this node leaves. It takes no roles from now on.
     *
     * @return completes when up to five live peers have answered the announcement or have timed out
     */
    public CompletionStage<Void> leave() {
        List<Outgoing> outgoing = lock.call(() -> {
            table.replaceSelf(MemberTable.withState(
                    MemberTable.withIncarnation(table.self(), table.self().incarnation() + 1), MemberState.LEAVING));
            return pickRandom(ALIVE_STATES, LEAVE_TARGETS, "").stream()
                    .map(target -> new Outgoing(target, probeMessage(target)))
                    .toList();
        });
        publish();
        CompletableFuture<?>[] announcements = outgoing.stream()
                .map(pending -> probe(pending.target(), pending.message()).toCompletableFuture())
                .toArray(CompletableFuture[]::new);
        return CompletableFuture.allOf(announcements);
    }

    /** Runs the probes and exchanges that are due. Must be called at intervals well below the probe interval. */
    public void tick() {
        if (!open.get()) {
            return;
        }
        List<Outgoing> probes = new ArrayList<>();
        List<Member> exchangePeers = new ArrayList<>();
        lock.run(() -> {
            long nowMillis = nowMillis();
            compensatePause(nowMillis);
            table.expire(nowMillis, timings);
            if (nowMillis >= nextProbeMillis) {
                nextProbeMillis = nowMillis + timings.probeIntervalMillis();
                nextTarget().ifPresent(target -> probes.add(new Outgoing(target, probeMessage(target))));
                probeCount++;
                if (probeCount % PROBES_PER_DEAD_EXCHANGE == 0) {
                    exchangePeers.addAll(pickRandom(DEAD_STATES, 1, ""));
                }
            }
            if (nowMillis >= nextExchangeMillis) {
                exchangeDelayMillis = Math.min(timings.exchangeIntervalMillis(), exchangeDelayMillis * 2);
                nextExchangeMillis = nowMillis + exchangeDelayMillis / 2 + jitter(exchangeDelayMillis);
                exchangePeers.addAll(pickRandom(ALIVE_STATES, 1, ""));
            }
        });
        publish();
        probes.forEach(pending -> probe(pending.target(), pending.message()).thenAccept(answered -> {
            if (!answered) {
                probeIndirectly(pending.target());
            }
        }));
        exchangePeers.forEach(this::exchange);
    }

    private void compensatePause(long nowMillis) {
        long pauseMillis = nowMillis - lastTickMillis;
        if (pauseMillis > PAUSE_PROBE_INTERVALS * timings.probeIntervalMillis()) {
            table.compensatePause(pauseMillis);
        }
        lastTickMillis = nowMillis;
    }

    private Optional<Member> nextTarget() {
        for (int attempt = 0; attempt < 2; attempt++) {
            while (!probeOrder.isEmpty()) {
                Optional<Member> member =
                        table.find(probeOrder.poll()).filter(candidate -> PROBED_STATES.contains(candidate.state()));
                if (member.isPresent()) {
                    return member;
                }
            }
            List<String> names = new ArrayList<>(
                    table.others(PROBED_STATES).stream().map(Member::nodeId).toList());
            Collections.shuffle(names, new Random(environment.random().nextLong()));
            probeOrder.addAll(names);
        }
        return Optional.empty();
    }

    private List<Member> pickRandom(Set<MemberState> states, int count, String exceptId) {
        List<Member> candidates = new ArrayList<>(table.others(states));
        candidates.removeIf(member -> member.nodeId().equals(exceptId));
        Collections.shuffle(candidates, new Random(environment.random().nextLong()));
        return List.copyOf(candidates.subList(0, Math.min(count, candidates.size())));
    }

    private MembershipMessage probeMessage(Member target) {
        return message(Optional.of(target), false, target.nodeId());
    }

    private MembershipMessage message(Optional<Member> target, boolean acknowledged, String receiverId) {
        return new MembershipMessage(
                acknowledged, target, table.updatesFor(receiverId, timings.updatesPerMessage()), Map.of());
    }

    private MembershipMessage fullTable() {
        return new MembershipMessage(true, Optional.empty(), table.all(), Map.of());
    }

    private CompletionStage<Boolean> probe(Member target, MembershipMessage message) {
        return send(target.nodeId(), MembershipTypes.PROBE, message, timings.probeTimeoutMillis())
                .thenApply(answer -> {
                    answer.ifPresent(received -> merge(target.nodeId(), received));
                    return answer.isPresent();
                });
    }

    private void probeIndirectly(Member target) {
        List<Outgoing> outgoing =
                lock.call(() -> pickRandom(ALIVE_STATES, timings.indirectProbes(), target.nodeId()).stream()
                        .map(helper -> new Outgoing(helper, message(Optional.of(target), false, helper.nodeId())))
                        .toList());
        List<CompletableFuture<Boolean>> confirmations = outgoing.stream()
                .map(request -> send(
                                request.target().nodeId(),
                                MembershipTypes.INDIRECT_PROBE,
                                request.message(),
                                timings.indirectTimeoutMillis())
                        .thenApply(answer -> {
                            answer.ifPresent(received -> merge(request.target().nodeId(), received));
                            return answer.map(MembershipMessage::acknowledged).orElse(false);
                        })
                        .toCompletableFuture())
                .toList();
        CompletableFuture.allOf(confirmations.toArray(CompletableFuture[]::new)).thenRun(() -> {
            if (confirmations.stream().noneMatch(CompletableFuture::join)) {
                onProbesFailed(target);
            }
        });
    }

    /** Suspects a member; a leaving member is declared dead at once. */
    private void onProbesFailed(Member target) {
        lock.run(() -> {
            boolean leaving = table.find(target.nodeId())
                    .filter(member -> member.state() == MemberState.LEAVING)
                    .isPresent();
            MemberState state = leaving ? MemberState.DEAD : MemberState.SUSPECT;
            table.setState(target.nodeId(), target.incarnation(), state, nowMillis());
        });
        publish();
    }

    private CompletionStage<Optional<MembershipMessage>> send(
            String nodeId, int type, MembershipMessage message, long timeoutMillis) {
        if (!open.get()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        byte[] encoded = encode(message);
        return environment
                .transport()
                .request(nodeId, type, encoded, timeoutMillis)
                .thenApply(this::decodeReply);
    }

    /**
     * Encodes a message with the piggybacked values. Must be called without any lock held, because piggyback sources
     * may acquire locks.
     */
    private byte[] encode(MembershipMessage message) {
        return environment
                .codec()
                .encode(new MembershipMessage(
                        message.acknowledged(),
                        message.target(),
                        message.updates(),
                        environment.piggybacks().values()));
    }

    private Optional<MembershipMessage> decodeReply(PeerReply reply) {
        if (!(reply instanceof PeerReply.Answered answered)) {
            return Optional.empty();
        }
        try {
            return Optional.of(environment.codec().decode(answered.payload()));
        } catch (RuntimeException e) {
            environment
                    .events()
                    .record(
                            EventCode.PEER_FRAME_BAD,
                            "cannot decode the reply to a membership message: " + e.getMessage());
            return Optional.empty();
        }
    }

    private CompletionStage<byte[]> answerProbe(String senderId, byte[] payload) {
        return answer(senderId, payload, () -> lock.call(() -> message(Optional.empty(), true, senderId)));
    }

    private CompletionStage<byte[]> answerExchange(String senderId, byte[] payload) {
        return answer(senderId, payload, () -> lock.call(this::fullTable));
    }

    private CompletionStage<byte[]> answer(String senderId, byte[] payload, Supplier<MembershipMessage> answer) {
        checkOpen();
        merge(senderId, environment.codec().decode(payload));
        return CompletableFuture.completedFuture(encode(answer.get()));
    }

    private CompletionStage<byte[]> answerIndirectProbe(String senderId, byte[] payload) {
        checkOpen();
        MembershipMessage request = environment.codec().decode(payload);
        merge(senderId, request);
        Member target = request.target()
                .orElseThrow(() -> new IllegalArgumentException("indirect probe request without a target"));
        Function<Boolean, byte[]> toAnswer =
                acknowledged -> encode(lock.call(() -> message(Optional.empty(), acknowledged, senderId)));
        return probe(target, lock.call(() -> probeMessage(target))).thenApply(toAnswer);
    }

    private void checkOpen() {
        if (!open.get()) {
            throw new IllegalStateException("membership is not open on this node");
        }
    }

    private void merge(String senderId, MembershipMessage received) {
        lock.run(() -> received.updates().forEach(update -> table.merge(update, nowMillis())));
        publish();
        environment.piggybacks().receive(senderId, received.values());
    }

    /**
     * Publishes changes of the table to readers, records events for them, and notifies the listeners if the live
     * members or their addresses have changed.
     */
    private void publish() {
        List<Member> changes = new ArrayList<>();
        boolean liveChanged = lock.call(() -> {
            if (!table.takeDirty()) {
                return false;
            }
            membersById =
                    table.all().stream().collect(Collectors.toUnmodifiableMap(Member::nodeId, Function.identity()));
            changes.addAll(table.takeChanges());
            self = table.self();
            List<Member> before = live;
            live = table.live();
            return !addresses(before).equals(addresses(live));
        });
        changes.forEach(this::record);
        if (liveChanged) {
            listeners.forEach(Runnable::run);
        }
    }

    private static List<String> addresses(List<Member> members) {
        return members.stream()
                .map(member -> member.nodeId() + "@" + member.host() + ":" + member.port())
                .toList();
    }

    private void record(Member member) {
        EventCode code =
                switch (member.state()) {
                    case ALIVE -> EventCode.MEMBER_ALIVE;
                    case SUSPECT -> EventCode.MEMBER_SUSPECTED;
                    case LEAVING -> EventCode.MEMBER_LEAVING;
                    case DEAD -> EventCode.MEMBER_DEAD;
                };
        environment.events().record(code, member.nodeId() + " incarnation " + member.incarnation());
    }

    private long nowMillis() {
        return environment.time().monotonicMillis();
    }

    private long jitter(long millis) {
        return environment.random().nextLong(millis + 1);
    }
}
