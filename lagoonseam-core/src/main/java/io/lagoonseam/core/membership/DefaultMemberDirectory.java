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
 * Finds out which nodes of the data centre answer: each node probes one other at fixed intervals, asks some others to
 * probe it if it does not answer, suspects it if they fail too, and holds it dead if it does not refute in time. What
 * is believed rides on the probes.
 */
public final class DefaultMemberDirectory implements MemberDirectory {

    private static final int PAUSE_FACTOR = 3;
    private static final int DEAD_PROBE_ROUNDS = 10;
    private static final int LEAVE_TARGETS = 5;
    private static final Set<MemberState> PROBED =
            EnumSet.of(MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING);
    private static final Set<MemberState> HELPFUL = EnumSet.of(MemberState.ALIVE);
    private static final Set<MemberState> GONE = EnumSet.of(MemberState.DEAD);

    private final RankedLock lock = new RankedLock(LockRank.MEMBERSHIP);
    private final MembershipEnvironment environment;
    private final MembershipTimings timings;
    private final MemberTable table;
    private final Deque<String> round = new ArrayDeque<>();
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private final AtomicBoolean open = new AtomicBoolean();
    private volatile List<Member> live;
    private volatile Member self;
    private volatile Map<String, Member> known = Map.of();
    private long lastTickMillis;
    private long nextProbeMillis;
    private long nextExchangeMillis;
    private long exchangeDelayMillis;
    private int probes;

    /**
     * Creates a directory that knows this node alone.
     *
     * @param self this node; its port may still be 0
     * @param environment what the directory works with
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
     * Begins to answer probes.
     *
     * @param port the port that peers reach this node at
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

    /** Ends all probes and answers, as a node does that exits. */
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
     * Returns what is known of all members, this node and the dead among them.
     *
     * @return the members in no order
     */
    public List<Member> allMembers() {
        return List.copyOf(known.values());
    }

    /**
     * Finds a member.
     *
     * @param nodeId its name
     * @return what is known of it
     */
    public Optional<Member> find(String nodeId) {
        return Optional.ofNullable(known.get(nodeId));
    }

    /**
     * Exchanges tables with a node that may be unknown, to join or to heal a cut.
     *
     * @param peer the node; its address needs to be known to the transport if it is not a member
     * @return whether it answered
     */
    public CompletionStage<Boolean> exchange(Member peer) {
        MembershipMessage message = lock.call(this::wholeTable);
        return send(peer.nodeId(), MembershipTypes.EXCHANGE, message, timings.indirectTimeoutMillis() * 2)
                .thenApply(answer -> {
                    answer.ifPresent(heard -> take(peer.nodeId(), heard));
                    return answer.isPresent();
                });
    }

    /**
     * Announces that this node leaves: it takes no roles from now on.
     *
     * @return completes when some peers know, or could not be told
     */
    public CompletionStage<Void> leave() {
        List<Outgoing> outgoing = lock.call(() -> {
            table.replaceSelf(MemberTable.withState(
                    MemberTable.withIncarnation(table.self(), table.self().incarnation() + 1), MemberState.LEAVING));
            return pick(HELPFUL, LEAVE_TARGETS, "").stream()
                    .map(target -> new Outgoing(target, probeMessage(target)))
                    .toList();
        });
        publish();
        CompletableFuture<?>[] told = outgoing.stream()
                .map(one -> probe(one.target(), one.message()).toCompletableFuture())
                .toArray(CompletableFuture[]::new);
        return CompletableFuture.allOf(told);
    }

    /** Does what is due; called at intervals well below the probe interval. */
    public void tick() {
        if (!open.get()) {
            return;
        }
        List<Outgoing> probed = new ArrayList<>();
        List<Member> exchanged = new ArrayList<>();
        lock.run(() -> {
            long nowMillis = nowMillis();
            excusePause(nowMillis);
            table.age(nowMillis, timings);
            if (nowMillis >= nextProbeMillis) {
                nextProbeMillis = nowMillis + timings.probeIntervalMillis();
                nextTarget().ifPresent(target -> probed.add(new Outgoing(target, probeMessage(target))));
                probes++;
                if (probes % DEAD_PROBE_ROUNDS == 0) {
                    exchanged.addAll(pick(GONE, 1, ""));
                }
            }
            if (nowMillis >= nextExchangeMillis) {
                exchangeDelayMillis = Math.min(timings.exchangeIntervalMillis(), exchangeDelayMillis * 2);
                nextExchangeMillis = nowMillis + exchangeDelayMillis / 2 + jitter(exchangeDelayMillis);
                exchanged.addAll(pick(HELPFUL, 1, ""));
            }
        });
        publish();
        probed.forEach(one -> probe(one.target(), one.message()).thenAccept(answered -> {
            if (!answered) {
                probeIndirectly(one.target());
            }
        }));
        exchanged.forEach(this::exchange);
    }

    private void excusePause(long nowMillis) {
        long pauseMillis = nowMillis - lastTickMillis;
        if (pauseMillis > PAUSE_FACTOR * timings.probeIntervalMillis()) {
            table.excusePause(pauseMillis);
        }
        lastTickMillis = nowMillis;
    }

    private Optional<Member> nextTarget() {
        for (int attempt = 0; attempt < 2; attempt++) {
            while (!round.isEmpty()) {
                Optional<Member> member =
                        table.find(round.poll()).filter(candidate -> PROBED.contains(candidate.state()));
                if (member.isPresent()) {
                    return member;
                }
            }
            List<String> names = new ArrayList<>(
                    table.others(PROBED).stream().map(Member::nodeId).toList());
            Collections.shuffle(names, new Random(environment.random().nextLong()));
            round.addAll(names);
        }
        return Optional.empty();
    }

    private List<Member> pick(Set<MemberState> states, int count, String exceptId) {
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

    private MembershipMessage wholeTable() {
        return new MembershipMessage(true, Optional.empty(), table.all(), Map.of());
    }

    private CompletionStage<Boolean> probe(Member target, MembershipMessage message) {
        return send(target.nodeId(), MembershipTypes.PROBE, message, timings.probeTimeoutMillis())
                .thenApply(answer -> {
                    answer.ifPresent(heard -> take(target.nodeId(), heard));
                    return answer.isPresent();
                });
    }

    private void probeIndirectly(Member target) {
        List<Outgoing> outgoing = lock.call(() -> pick(HELPFUL, timings.indirectProbes(), target.nodeId()).stream()
                .map(helper -> new Outgoing(helper, message(Optional.of(target), false, helper.nodeId())))
                .toList());
        List<CompletableFuture<Boolean>> confirmations = outgoing.stream()
                .map(one -> send(
                                one.target().nodeId(),
                                MembershipTypes.INDIRECT_PROBE,
                                one.message(),
                                timings.indirectTimeoutMillis())
                        .thenApply(answer -> {
                            answer.ifPresent(heard -> take(one.target().nodeId(), heard));
                            return answer.map(MembershipMessage::acknowledged).orElse(false);
                        })
                        .toCompletableFuture())
                .toList();
        CompletableFuture.allOf(confirmations.toArray(CompletableFuture[]::new)).thenRun(() -> {
            if (confirmations.stream().noneMatch(CompletableFuture::join)) {
                suspect(target);
            }
        });
    }

    private void suspect(Member target) {
        lock.run(() -> {
            boolean leaves = table.find(target.nodeId())
                    .filter(member -> member.state() == MemberState.LEAVING)
                    .isPresent();
            MemberState state = leaves ? MemberState.DEAD : MemberState.SUSPECT;
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

    /** Encodes a message with the numbers that ride on it; no lock may be held, as their sources may take some. */
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
            environment.events().record(EventCode.PEER_FRAME_BAD, "an answer to a probe: " + e.getMessage());
            return Optional.empty();
        }
    }

    private CompletionStage<byte[]> answerProbe(String senderId, byte[] payload) {
        return answer(senderId, payload, () -> lock.call(() -> message(Optional.empty(), true, senderId)));
    }

    private CompletionStage<byte[]> answerExchange(String senderId, byte[] payload) {
        return answer(senderId, payload, () -> lock.call(this::wholeTable));
    }

    private CompletionStage<byte[]> answer(String senderId, byte[] payload, Supplier<MembershipMessage> answer) {
        checkOpen();
        take(senderId, environment.codec().decode(payload));
        return CompletableFuture.completedFuture(encode(answer.get()));
    }

    private CompletionStage<byte[]> answerIndirectProbe(String senderId, byte[] payload) {
        checkOpen();
        MembershipMessage asked = environment.codec().decode(payload);
        take(senderId, asked);
        Member target = asked.target().orElseThrow(() -> new IllegalArgumentException("no target to probe"));
        Function<Boolean, byte[]> toAnswer =
                acknowledged -> encode(lock.call(() -> message(Optional.empty(), acknowledged, senderId)));
        return probe(target, lock.call(() -> probeMessage(target))).thenApply(toAnswer);
    }

    private void checkOpen() {
        if (!open.get()) {
            throw new IllegalStateException("this node takes no part in membership");
        }
    }

    private void take(String senderId, MembershipMessage heard) {
        lock.run(() -> heard.updates().forEach(update -> table.merge(update, nowMillis())));
        publish();
        environment.piggybacks().heard(senderId, heard.values());
    }

    /** Makes changes visible, then tells the listeners. */
    private void publish() {
        List<Member> changes = new ArrayList<>();
        boolean liveChanged = lock.call(() -> {
            if (!table.takeDirty()) {
                return false;
            }
            known = table.all().stream().collect(Collectors.toUnmodifiableMap(Member::nodeId, Function.identity()));
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
