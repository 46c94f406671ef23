package io.lagoonseam.entry.quarantine;

import io.lagoonseam.core.hash.Rendezvous;
import io.lagoonseam.core.peer.PeerHandler;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.quarantine.Crash;
import io.lagoonseam.core.quarantine.CrashHistories;
import io.lagoonseam.core.quarantine.CrashHistory;
import io.lagoonseam.core.quarantine.DigestKey;
import io.lagoonseam.core.quarantine.DigestKeys;
import io.lagoonseam.core.quarantine.Quarantine;
import io.lagoonseam.core.quarantine.Suspect;
import io.lagoonseam.core.quarantine.WholeAnswers;
import io.lagoonseam.core.ratelimit.WorkerIncarnation;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.wire.MessageTypes;
import io.lagoonseam.wire.QuarantineMessages.Ages;
import io.lagoonseam.wire.QuarantineMessages.Ask;
import io.lagoonseam.wire.QuarantineMessages.Decision;
import io.lagoonseam.wire.QuarantineMessages.Entry;
import io.lagoonseam.wire.QuarantineMessages.Histories;
import io.lagoonseam.wire.QuarantineMessages.KeyOffer;
import io.lagoonseam.wire.QuarantineMessages.Sync;
import io.lagoonseam.wire.QuarantineMessages.SyncAnswer;
import io.lagoonseam.wire.QuarantineMessages.Try;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

/**
 * The quarantine of all nodes. A node reports each crash of a worker that had its requests to three nodes, which
 * rendezvous hashing selects for each suspect. Each of them counts by itself; when enough crashes count, it asks all
 * nodes for whole answers since, and tells all nodes what is in quarantine then. What a node missed it gets from any
 * other. The store is not involved. Not thread-safe: all calls and callbacks run on one event loop.
 */
public final class QuarantineExchange implements Quarantine {

    /** The number of nodes that count the crashes under a suspect. */
    static final int COUNTING_NODES = 3;

    /** How much later each of the counting nodes decides than the one before, in milliseconds. */
    private static final long DECISION_STAGGER_MILLIS = 300;

    private static final long TELL_TIMEOUT_MILLIS = 300;
    private static final long ASK_TIMEOUT_MILLIS = 250;
    private static final long TRY_TIMEOUT_MILLIS = 150;

    /** How long a node that has not answered is passed over, in milliseconds. */
    private static final long PASSED_OVER_MILLIS = 2_000;

    /** How often what is in quarantine is told to a node that does not answer, and how long after, in milliseconds. */
    private static final int MAX_TELLS = 6;

    private static final long TELL_AGAIN_MILLIS = 500;

    /** The interval at which a node compares with another one what is in quarantine, in milliseconds. */
    private static final long SYNC_MILLIS = 500;

    /** The longest time after which a node reports its crashes again, in milliseconds. */
    private static final long MAX_REPORT_INTERVAL_MILLIS = 60_000;

    private static final int MAX_REPORTED = 2_000;
    private static final int MAX_COUNTED = 10_000;
    private static final int MAX_QUARANTINED = 1_000;

    /** The number of suspects in quarantine with which a request may still be let through. */
    private static final int MAX_TRIED_TOGETHER = 8;

    /** The number of histories in one message, and of suspects that are reported at once. */
    private static final int MAX_ENTRIES = 200;

    private final Environment environment;
    private final CrashHistories own = new CrashHistories(MAX_REPORTED);
    private final CrashHistories counted = new CrashHistories(MAX_COUNTED);
    private final CrashHistories quarantine = new CrashHistories(MAX_QUARANTINED);
    private final DigestKeys keys;
    private final WholeAnswers wholeAnswers = new WholeAnswers();
    private final Map<Suspect, Report> reports = new HashMap<>();
    private final Map<Suspect, Long> undecided = new HashMap<>();
    private final Map<String, Long> silentUntilMillis = new HashMap<>();
    private long nextSyncMillis = Long.MIN_VALUE;
    private boolean synced;

    /** Runs a task later on the event loop. */
    @FunctionalInterface
    public interface Timers {

        /**
         * Runs a task later.
         *
         * @param delayMillis the delay, in milliseconds
         * @param task the task
         */
        void schedule(long delayMillis, Runnable task);
    }

    /** Learns which suspects have come into quarantine, or out of it. */
    public interface Listener {

        /**
         * Requests with a suspect are not to be sent from now on.
         *
         * @param suspect the suspect
         * @param crashes the number of crashes that count
         */
        void onQuarantined(Suspect suspect, int crashes);

        /**
         * Requests with a suspect may be sent again.
         *
         * @param suspect the suspect
         */
        void onReleased(Suspect suspect);
    }

    /**
     * What the exchange needs from its node.
     *
     * @param time the clocks
     * @param transport the transport between nodes
     * @param eventLoop runs the callbacks
     * @param timers runs tasks later
     * @param random draws ids, and the nodes to compare with
     * @param ownId the id of this node
     * @param otherNodes returns the ids of the other nodes, whether they respond or not
     * @param listener learns of changes
     */
    public record Environment(
            TimeSource time,
            PeerTransport transport,
            Executor eventLoop,
            Timers timers,
            Random random,
            String ownId,
            Supplier<List<String>> otherNodes,
            Listener listener) {}

    /** When the crashes under a suspect are reported next. */
    private static final class Report {
        private long atMillis;
        private long intervalMillis = TELL_AGAIN_MILLIS;

        Report(long atMillis) {
            this.atMillis = atMillis;
        }
    }

    /**
     * Creates an exchange that knows nothing.
     *
     * @param environment what it needs from its node
     */
    public QuarantineExchange(Environment environment) {
        this.environment = environment;
        this.keys = new DigestKeys(DigestKey.draw(environment.time().wallMillis()), nowMillis());
        register(MessageTypes.CRASH_REPORT, payload -> {
            decode(payload).entries().forEach(this::count);
            return new byte[0];
        });
        register(MessageTypes.QUARANTINE, payload -> {
            decode(payload).entries().forEach(this::learn);
            return new byte[0];
        });
        register(MessageTypes.QUARANTINE_SYNC, payload -> {
            Sync sync = Sync.decode(payload);
            learn(sync.offer());
            boolean same = sync.fingerprint() == quarantine.fingerprint();
            Histories histories = new Histories(quarantine.fingerprint(), same ? List.of() : sample());
            return new SyncAnswer(offer(), histories).encode(nowMillis());
        });
        register(
                MessageTypes.WHOLE_ANSWERS_ASK,
                payload -> new Ages(Ask.decode(payload).suspects().stream()
                                .map(this::ageMillis)
                                .toList())
                        .encode());
        register(MessageTypes.QUARANTINE_TRY, payload -> {
            Try asked = Try.decode(payload);
            return new Decision(allow(asked)).encode();
        });
    }

    private void register(int type, UnaryOperator<byte[]> handler) {
        PeerHandler peerHandler = (sender, payload) -> CompletableFuture.completedFuture(handler.apply(payload));
        environment.transport().register(type, peerHandler);
    }

    private long nowMillis() {
        return environment.time().monotonicMillis();
    }

    private Histories decode(byte[] payload) {
        return Histories.decode(payload, nowMillis());
    }

    private byte[] encode(List<Entry> entries) {
        return new Histories(quarantine.fingerprint(), entries).encode(nowMillis());
    }

    private List<Entry> entries(CrashHistories from, Collection<Suspect> suspects) {
        return suspects.stream()
                .map(suspect -> new Entry(suspect, from.get(suspect)))
                .toList();
    }

    private List<Entry> sample() {
        List<Suspect> suspects = quarantine.suspects();
        Collections.shuffle(suspects, environment.random());
        return entries(quarantine, suspects.subList(0, Math.min(MAX_ENTRIES, suspects.size())));
    }

    private KeyOffer offer() {
        return new KeyOffer(keys.key(), keys.settled(nowMillis()));
    }

    private void learn(KeyOffer offer) {
        keys.learn(offer.key(), offer.settled(), nowMillis());
    }

    @Override
    public DigestKey key() {
        return keys.key();
    }

    private long newId() {
        return 1 + environment.random().nextLong(Long.MAX_VALUE - 1);
    }

    @Override
    public Set<Suspect> inForce(Set<Suspect> suspects) {
        if (quarantine.size() == 0) {
            return Set.of();
        }
        Set<Suspect> found = new LinkedHashSet<>();
        suspects.stream().filter(quarantine::quarantined).forEach(found::add);
        return found;
    }

    /** Returns the nodes that count the crashes under a suspect, by rank; those that are silent are passed over. */
    private List<String> countingNodes(Suspect suspect, boolean withOwn) {
        List<String> all = new ArrayList<>(environment.otherNodes().get());
        if (withOwn) {
            all.add(environment.ownId());
        }
        List<String> responding = all.stream().filter(node -> !isSilent(node)).toList();
        List<String> candidates = responding.size() < COUNTING_NODES ? all : responding;
        long role = Rendezvous.hash(suspect.role());
        List<String> highest = new ArrayList<>();
        for (String node : candidates) {
            int index = highest.size();
            while (index > 0 && rank(role, node) > rank(role, highest.get(index - 1))) {
                index--;
            }
            if (index < COUNTING_NODES) {
                highest.add(index, node);
            }
            if (highest.size() > COUNTING_NODES) {
                highest.remove(COUNTING_NODES);
            }
        }
        return highest;
    }

    private static long rank(long role, String node) {
        return Rendezvous.mix(role, Rendezvous.hash(node));
    }

    private boolean isSilent(String node) {
        return silentUntilMillis.getOrDefault(node, Long.MIN_VALUE) > nowMillis();
    }

    private void request(String node, int type, byte[] payload, long timeoutMillis, Consumer<PeerReply> onReply) {
        environment
                .transport()
                .request(node, type, payload, timeoutMillis)
                .thenAccept(reply -> environment.eventLoop().execute(() -> {
                    if (reply instanceof PeerReply.Answered) {
                        silentUntilMillis.remove(node);
                    } else {
                        silentUntilMillis.put(node, nowMillis() + PASSED_OVER_MILLIS);
                    }
                    onReply.accept(reply);
                }));
    }

    @Override
    public void crashed(Set<Suspect> suspects, long caller, WorkerIncarnation worker, long sentMillis) {
        long nowMillis = nowMillis();
        Crash crash = Crash.of(worker, nowMillis, sentMillis);
        for (Suspect suspect : suspects) {
            own.merge(suspect, CrashHistory.EMPTY.withCrash(crash, caller));
            reports.put(suspect, new Report(nowMillis));
        }
        report();
    }

    /** Reports the crashes that are due to the nodes that count them. */
    private void report() {
        long nowMillis = nowMillis();
        List<Suspect> due = new ArrayList<>();
        reports.forEach((suspect, report) -> {
            if (report.atMillis <= nowMillis && due.size() < MAX_ENTRIES) {
                report.atMillis = nowMillis + report.intervalMillis;
                report.intervalMillis = Math.min(3 * report.intervalMillis / 2, MAX_REPORT_INTERVAL_MILLIS);
                due.add(suspect);
            }
        });
        forCountingNodes(due, true, this::report);
    }

    private void forCountingNodes(
            Collection<Suspect> suspects, boolean withOwn, BiConsumer<String, List<Suspect>> use) {
        Map<String, List<Suspect>> suspectsByNode = new HashMap<>();
        for (Suspect suspect : suspects) {
            countingNodes(suspect, withOwn)
                    .forEach(node -> suspectsByNode
                            .computeIfAbsent(node, id -> new ArrayList<>())
                            .add(suspect));
        }
        suspectsByNode.forEach((node, all) -> forParts(all, part -> use.accept(node, part)));
    }

    private static void forParts(List<Suspect> suspects, Consumer<List<Suspect>> use) {
        for (int from = 0; from < suspects.size(); from += MAX_ENTRIES) {
            use.accept(suspects.subList(from, Math.min(suspects.size(), from + MAX_ENTRIES)));
        }
    }

    private void report(String node, List<Suspect> suspects) {
        if (node.equals(environment.ownId())) {
            entries(own, suspects).forEach(this::count);
            return;
        }
        byte[] payload = encode(entries(own, suspects));
        request(node, MessageTypes.CRASH_REPORT, payload, TELL_TIMEOUT_MILLIS, reply -> {
            if (!(reply instanceof PeerReply.Answered)) {
                suspects.forEach(suspect -> reports.put(suspect, new Report(nowMillis() + TELL_AGAIN_MILLIS)));
            }
        });
    }

    /** Counts crashes that a node has reported, and decides after a while if they are enough. */
    private void count(Entry entry) {
        Suspect suspect = entry.suspect();
        boolean changed = counted.merge(suspect, entry.history());
        if (quarantine.get(suspect).crashes().isEmpty()) {
            if (counted.get(suspect).sufficient(suspect.kind()) && !undecided.containsKey(suspect)) {
                int rank = countingNodes(suspect, true).indexOf(environment.ownId());
                long delayMillis = 1 + DECISION_STAGGER_MILLIS * (rank < 0 ? COUNTING_NODES : rank);
                undecided.put(suspect, nowMillis() + delayMillis);
                environment.timers().schedule(delayMillis, this::decide);
            }
        } else if (changed && change(suspect, entry.history())) {
            tellAll(List.of(suspect));
        }
    }

    /** Asks all nodes for whole answers to requests with the suspects that are due. */
    private void decide() {
        long nowMillis = nowMillis();
        List<Suspect> due = undecided.entrySet().stream()
                .filter(entry -> entry.getValue() <= nowMillis)
                .map(Map.Entry::getKey)
                .limit(MAX_ENTRIES)
                .toList();
        due.forEach(undecided::remove);
        List<Suspect> open = due.stream()
                .filter(suspect -> quarantine.get(suspect).crashes().isEmpty())
                .toList();
        if (!open.isEmpty()) {
            ask(open);
        }
        if (!undecided.isEmpty()) {
            environment.timers().schedule(DECISION_STAGGER_MILLIS, this::decide);
        }
    }

    private void ask(List<Suspect> suspects) {
        long askedMillis = nowMillis();
        Map<Suspect, Long> beganMillis = new HashMap<>();
        BiConsumer<Suspect, Long> onAge = (suspect, ageMillis) -> {
            if (ageMillis >= 0) {
                beganMillis.merge(suspect, askedMillis - ageMillis, Math::max);
            }
        };
        suspects.forEach(suspect -> onAge.accept(suspect, ageMillis(suspect)));
        List<String> nodes = environment.otherNodes().get();
        if (nodes.isEmpty()) {
            quarantine(suspects, beganMillis);
            return;
        }
        byte[] payload = new Ask(suspects).encode();
        int[] unanswered = {nodes.size()};
        for (String node : nodes) {
            request(node, MessageTypes.WHOLE_ANSWERS_ASK, payload, ASK_TIMEOUT_MILLIS, reply -> {
                unanswered[0]--;
                read(reply, Ages::decode).map(Ages::agesMillis).ifPresent(ages -> {
                    for (int index = 0; index < Math.min(ages.size(), suspects.size()); index++) {
                        onAge.accept(suspects.get(index), ages.get(index));
                    }
                });
                if (unanswered[0] == 0) {
                    quarantine(suspects, beganMillis);
                }
            });
        }
    }

    private long ageMillis(Suspect suspect) {
        var beganMillis = wholeAnswers.lastBeganMillis(suspect);
        return beganMillis.isPresent() ? Math.max(0, nowMillis() - beganMillis.getAsLong()) : -1;
    }

    /** Puts the suspects in quarantine for which enough crashes still count after the whole answers. */
    private void quarantine(List<Suspect> suspects, Map<Suspect, Long> beganMillis) {
        List<Suspect> changed = new ArrayList<>();
        for (Suspect suspect : suspects) {
            Long began = beganMillis.get(suspect);
            if (began != null) {
                counted.merge(suspect, CrashHistory.EMPTY.withAnswer(new CrashHistory.Answer(newId(), began)));
            }
            CrashHistory history = counted.get(suspect);
            if (history.sufficient(suspect.kind()) && change(suspect, history)) {
                changed.add(suspect);
            }
        }
        tellAll(changed);
    }

    /** Changes what is in quarantine, and returns whether anything was new. */
    private boolean change(Suspect suspect, CrashHistory history) {
        boolean before = quarantine.quarantined(suspect);
        boolean changed = quarantine.merge(suspect, history);
        boolean after = quarantine.quarantined(suspect);
        if (after && !before) {
            environment
                    .listener()
                    .onQuarantined(suspect, quarantine.get(suspect).evidence().size());
        } else if (before && !after) {
            environment.listener().onReleased(suspect);
        }
        return changed;
    }

    private void learn(Entry entry) {
        change(entry.suspect(), entry.history());
    }

    private void tellAll(List<Suspect> suspects) {
        if (!suspects.isEmpty()) {
            environment.otherNodes().get().forEach(node -> forParts(suspects, part -> tell(node, part, 1)));
        }
    }

    private void tell(String node, List<Suspect> suspects, int tells) {
        byte[] payload = encode(entries(quarantine, suspects));
        request(node, MessageTypes.QUARANTINE, payload, TELL_TIMEOUT_MILLIS, reply -> {
            if (!(reply instanceof PeerReply.Answered) && tells < MAX_TELLS) {
                environment.timers().schedule(TELL_AGAIN_MILLIS, () -> tell(node, suspects, tells + 1));
            }
        });
    }

    @Override
    public void answered(Set<Suspect> suspects, long beganMillis) {
        wholeAnswers.record(suspects, beganMillis);
        List<Suspect> changed = new ArrayList<>();
        for (Suspect suspect : suspects) {
            CrashHistory history = quarantine.get(suspect);
            List<Crash> evidence = history.evidence();
            if (!evidence.isEmpty()
                    && beganMillis > evidence.get(0).atMillis()
                    && change(suspect, history.withAnswer(new CrashHistory.Answer(newId(), beganMillis)))) {
                changed.add(suspect);
            }
        }
        tellAll(changed);
    }

    @Override
    public CompletionStage<Boolean> tryOnce(Set<Suspect> suspects, long caller) {
        CompletableFuture<Boolean> decision = new CompletableFuture<>();
        if (suspects.isEmpty() || suspects.size() > MAX_TRIED_TOGETHER) {
            decision.complete(false);
            return decision;
        }
        List<Suspect> mostCrashesFirst = new ArrayList<>(suspects);
        mostCrashesFirst.sort(Comparator.comparingInt(
                        (Suspect suspect) -> -quarantine.get(suspect).evidence().size())
                .thenComparingLong(Suspect::digest));
        askToTry(mostCrashesFirst, caller, suspects.size() == 1, decision);
        return decision;
    }

    /** Asks for each suspect in turn until one is not let through. */
    private void askToTry(List<Suspect> suspects, long caller, boolean alone, CompletableFuture<Boolean> decision) {
        Suspect first = suspects.get(0);
        askToTry(countingNodes(first, true), 0, new Try(first, caller, alone), allowed -> {
            if (allowed && suspects.size() > 1) {
                askToTry(suspects.subList(1, suspects.size()), caller, alone, decision);
            } else {
                decision.complete(allowed);
            }
        });
    }

    private void askToTry(List<String> nodes, int next, Try asked, Consumer<Boolean> onDecision) {
        if (next == nodes.size()) {
            onDecision.accept(false);
        } else if (nodes.get(next).equals(environment.ownId())) {
            onDecision.accept(allow(asked));
        } else {
            request(nodes.get(next), MessageTypes.QUARANTINE_TRY, asked.encode(), TRY_TIMEOUT_MILLIS, reply -> {
                Optional<Decision> decision = read(reply, Decision::decode);
                if (decision.isPresent()) {
                    onDecision.accept(decision.get().allowed());
                } else {
                    askToTry(nodes, next + 1, asked, onDecision);
                }
            });
        }
    }

    /** Reads an answer; empty if there is none, or none that can be read. */
    private static <T> Optional<T> read(PeerReply reply, Function<byte[], T> decoder) {
        if (reply instanceof PeerReply.Answered answered) {
            try {
                return Optional.of(decoder.apply(answered.payload()));
            } catch (IllegalArgumentException e) {
                return Optional.empty();
            }
        }
        return Optional.empty();
    }

    private boolean allow(Try asked) {
        Suspect suspect = asked.suspect();
        CrashHistory history = quarantine.get(suspect);
        long nowMillis = nowMillis();
        boolean ambiguous = asked.alone() && quarantine.ambiguous(suspect);
        boolean known = !history.crashes().isEmpty();
        boolean allowed = synced && known && history.mayTry(asked.caller(), ambiguous, nowMillis);
        if (allowed && change(suspect, history.withTrial(newId(), nowMillis))) {
            tellAll(List.of(suspect));
        }
        return allowed;
    }

    /** Has other nodes count what this node has counted, since it is about to stop. */
    public void handOver() {
        forCountingNodes(counted.suspects(), false, (node, suspects) -> {
            byte[] payload = encode(entries(counted, suspects));
            request(node, MessageTypes.CRASH_REPORT, payload, TELL_TIMEOUT_MILLIS, reply -> {});
        });
    }

    /** Reports again, compares with another node, and forgets what is old; called several times a second. */
    public void tick() {
        long nowMillis = nowMillis();
        own.expire(nowMillis);
        counted.expire(nowMillis);
        quarantine.expire(nowMillis);
        reports.keySet().removeIf(suspect -> own.get(suspect).crashes().isEmpty());
        silentUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
        report();
        if (nowMillis >= nextSyncMillis) {
            nextSyncMillis = nowMillis + SYNC_MILLIS;
            sync();
        }
    }

    private void sync() {
        List<String> nodes = new ArrayList<>(environment.otherNodes().get());
        if (nodes.isEmpty()) {
            synced = true;
            return;
        }
        Collections.shuffle(nodes, environment.random());
        for (String node : nodes.subList(0, Math.min(synced ? 1 : COUNTING_NODES, nodes.size()))) {
            byte[] payload = new Sync(offer(), quarantine.fingerprint()).encode();
            request(node, MessageTypes.QUARANTINE_SYNC, payload, TELL_TIMEOUT_MILLIS, reply -> {
                read(reply, payloadRead -> SyncAnswer.decode(payloadRead, nowMillis()))
                        .ifPresent(answer -> {
                            synced = true;
                            learn(answer.offer());
                            Histories theirs = answer.histories();
                            theirs.entries().forEach(this::learn);
                            if (theirs.fingerprint() != quarantine.fingerprint()) {
                                request(
                                        node,
                                        MessageTypes.QUARANTINE,
                                        encode(sample()),
                                        TELL_TIMEOUT_MILLIS,
                                        told -> {});
                            }
                        });
            });
        }
    }

    /**
     * Returns the number of suspects that are or were in quarantine.
     *
     * @return the number
     */
    public int size() {
        return quarantine.size();
    }
}
