package io.lagoonseam.entry.duty;

import io.lagoonseam.core.audit.DecisionLog;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.duty.ClockMedian;
import io.lagoonseam.core.duty.DutyRecord;
import io.lagoonseam.core.duty.DutyTenure;
import io.lagoonseam.core.duty.UsageTally;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.time.StallDetector;
import io.lagoonseam.core.time.TimeReading;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.entry.store.CollectionObject;
import io.lagoonseam.entry.store.CollectionStore;
import io.lagoonseam.entry.store.StoreResult;
import io.lagoonseam.wire.MessageTypes;
import io.lagoonseam.wire.UsageMessages.Answer;
import io.lagoonseam.wire.UsageMessages.Ask;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/**
 * Counts the requests of each workspace that workers began to run, and reports them once a window while this node holds
 * the duty. Not thread-safe: all calls and callbacks run on one event loop.
 */
public final class UsageDuty implements UsageMeter {

    /** The name of the duty, and of its record in the store. */
    public static final String SUBJECT = "usage";

    /** The interval of the holder's writes, in milliseconds. */
    private static final long RENEWAL_MILLIS = 2_000;

    /** How long a record without a change belongs to its holder, in milliseconds: three renewals. */
    private static final long MIN_LEASE_MILLIS = 6_000;

    /** The intervals at which nodes look at the record, by their place in the ranking, in milliseconds. */
    private static final long NEAREST_POLL_MILLIS = 1_500;

    private static final long NEAR_POLL_MILLIS = 5_000;
    private static final long OTHER_POLL_MILLIS = 15_000;
    private static final int NEAREST = 2;
    private static final int NEAR = 5;

    /** The least interval at which the holder asks all nodes, and what each node adds to it, in milliseconds. */
    private static final long MIN_ASK_MILLIS = 1_000;

    private static final long ASK_MILLIS_PER_NODE = 10;
    private static final long ASK_TIMEOUT_MILLIS = 800;

    /** How long after the end of a window it is decided without the nodes that have not answered, in milliseconds. */
    private static final long MAX_WAIT_MILLIS = 3_000;

    private static final long RESEND_MILLIS = 500;

    /** How soon all nodes are asked again as long as too few clocks were read, in milliseconds. */
    private static final long CLOCKS_ASK_MILLIS = 500;

    private static final long UNKNOWN_WINDOW = -1;

    /** A pause of this process after which readings of other clocks no longer hold, in milliseconds. */
    private static final long MAX_STALL_MILLIS = 900;

    private final Environment environment;
    private final TimeSource time;
    private final DutyTenure tenure;
    private final UsageCounter counter;
    private final UsageTally tally = new UsageTally();
    private final ClockMedian clocks = new ClockMedian();
    private final StallDetector stallDetector;
    private final Map<String, String> incarnations = new HashMap<>();
    private long firstWindow = UNKNOWN_WINDOW;
    private long clocksSinceMillis;
    private long nextPollMillis;
    private long nextWriteMillis;
    private long nextAskMillis;
    private long nextSendMillis;
    private long renewals;
    /** What this node has decided and reported as the holder, which the record may not have yet. */
    private DutyRecord own = DutyRecord.NONE;

    private long stalls;
    private boolean calling;
    private boolean sending;
    private boolean stopping;

    /**
     * What the duty needs from its node.
     *
     * @param time the clocks
     * @param transport the transport between nodes
     * @param eventLoop runs the callbacks
     * @param ownId the id of this node
     * @param nodeName the name of this node
     * @param incarnation identifies this process among all
     * @param others returns the ids of the other nodes
     * @param ranking returns the ids of the nodes that may hold the duty, best first
     * @param store the store
     * @param platform takes the reports
     * @param log the log
     * @param windowMillis the length of a window, in milliseconds
     * @param leaseMillis the least time between two holders that the platform allows, in milliseconds
     */
    public record Environment(
            TimeSource time,
            PeerTransport transport,
            Executor eventLoop,
            String ownId,
            String nodeName,
            String incarnation,
            Supplier<List<String>> others,
            Supplier<List<String>> ranking,
            CollectionStore store,
            UsagePlatform platform,
            DecisionLog log,
            long windowMillis,
            long leaseMillis) {}

    /**
     * Creates the duty at one node.
     *
     * @param environment what it needs
     */
    public UsageDuty(Environment environment) {
        this.environment = environment;
        this.time = environment.time();
        this.counter = new UsageCounter(time, environment.incarnation(), environment.windowMillis());
        this.stallDetector = new StallDetector(time, MAX_STALL_MILLIS);
        this.tenure = new DutyTenure(
                time,
                environment.ownId(),
                environment.incarnation(),
                Math.max(MIN_LEASE_MILLIS, 2 * environment.leaseMillis()));
        environment
                .transport()
                .register(
                        MessageTypes.USAGE_ASK,
                        (sender, payload) -> CompletableFuture.completedFuture(
                                counter.answer(Ask.decode(payload)).encode()));
    }

    @Override
    public void began(String workspace, long agoMillis) {
        counter.began(workspace, agoMillis);
    }

    /** Returns whether this node may act as the holder now. */
    public boolean holds() {
        return tenure.holds();
    }

    /** Returns the number of windows that have been decided and not reported, as far as this node knows. */
    public int windowsWaiting() {
        DutyRecord current = current();
        return current.decided().tailMap(current.reported(), false).size();
    }

    private long nowMillis() {
        return time.monotonicMillis();
    }

    private long trueMillis() {
        return clocks.trueMillis(time.wallMillis(), nowMillis());
    }

    /** The clocks of others were read before a time that the monotonic clock may not have counted. */
    private void checkStall() {
        if (stallDetector.check()) {
            clocks.clear();
            clocksSinceMillis = nowMillis();
            stalls++;
            tenure.distrustClocks();
            nextAskMillis = 0;
            nextWriteMillis = 0;
        }
    }

    /** Does what is due; called several times a second. */
    public void tick() {
        checkStall();
        counter.tick();
        if (stopping) {
            release();
        } else if (tenure.named()) {
            act();
        } else if (!calling && nowMillis() >= nextPollMillis) {
            look(true);
        }
    }

    private void act() {
        if (!calling && nowMillis() >= nextWriteMillis) {
            renew();
        }
        if (!tenure.holds()) {
            return;
        }
        if (nowMillis() >= nextAskMillis) {
            askAll();
        }
        decide();
        if (!sending && nowMillis() >= nextSendMillis) {
            send();
        }
    }

    private int rank() {
        int rank = environment.ranking().get().indexOf(environment.ownId());
        return rank < 0 ? NEAR : rank;
    }

    private long pollMillis() {
        int rank = rank();
        if (rank < NEAREST) {
            return NEAREST_POLL_MILLIS;
        }
        return rank < NEAR ? NEAR_POLL_MILLIS : OTHER_POLL_MILLIS;
    }

    private void look(boolean mayBeStale) {
        if (environment.ranking().get().isEmpty()) {
            return;
        }
        boolean first = nextPollMillis == 0;
        nextPollMillis = nowMillis() + pollMillis();
        if (first && rank() > 0) {
            // the first of the ranking takes a duty that nobody has held
            return;
        }
        calling = true;
        environment.store().read(CollectionStore.DUTIES, SUBJECT, mayBeStale).onComplete(result -> {
            calling = false;
            onFound(result.result());
        });
    }

    private void onFound(StoreResult result) {
        if (result instanceof StoreResult.Objects found) {
            found.objects().forEach(this::observe);
        } else if (result instanceof StoreResult.Conflict) {
            tenure.observeNone();
        } else {
            return;
        }
        if (!stopping && !tenure.named() && tenure.mayTake()) {
            write(tenure.taken(), EventCode.DUTY_TAKEN);
        }
    }

    private void observe(CollectionObject object) {
        tenure.observe(DutyRecordCodec.decode(object.content()).orElse(DutyRecord.UNREADABLE), object.revision());
    }

    private DutyRecord current() {
        return tenure.record().orElse(DutyRecord.NONE).with(own);
    }

    private void renew() {
        write(current(), EventCode.DUTY_RENEWED);
    }

    private void write(DutyRecord record, EventCode event) {
        calling = true;
        nextWriteMillis = nowMillis() + RENEWAL_MILLIS;
        renewals++;
        TimeReading sentAt = TimeReading.now(time);
        long stallsBefore = stalls;
        environment
                .store()
                .replace(CollectionStore.DUTIES, SUBJECT, DutyRecordCodec.encode(record, renewals), tenure.revision())
                .onComplete(result -> {
                    calling = false;
                    checkStall();
                    // a reading from before a stall tells no age
                    onWritten(result.result(), record, stalls == stallsBefore ? Optional.of(sentAt) : Optional.empty());
                    logTenure(
                            result.result() instanceof StoreResult.Objects ? event : EventCode.DUTY_WRITE_FAILED,
                            record);
                });
    }

    private void onWritten(StoreResult result, DutyRecord record, Optional<TimeReading> sentAt) {
        if (result instanceof StoreResult.Objects written) {
            boolean named = tenure.named();
            tenure.onWritten(record, written.revision(), sentAt);
            if (!named && tenure.named()) {
                begin();
            }
        } else {
            // the write may have taken effect, or may do so later: only the store knows who holds the duty
            if (!stopping) {
                look(false);
            }
        }
    }

    private void begin() {
        own = DutyRecord.NONE;
        nextAskMillis = 0;
        nextSendMillis = 0;
        clocksSinceMillis = nowMillis();
        firstWindow = UNKNOWN_WINDOW;
        clocks.clear();
        counter.toldMillis().ifPresent(told -> clocks.record(environment.ownId(), told, nowMillis()));
    }

    private long firstWindow() {
        long openWindow = window(trueMillis());
        boolean neverHeld = current().reported() < 0 && current().decided().isEmpty();
        return neverHeld ? openWindow : openWindow - DutyRecord.MAX_DECIDED + 1;
    }

    /** Returns whether enough clocks were read to tell the time; until then nothing is decided and no time is told. */
    private boolean clocksKnown() {
        return 2 * clocks.size() >= environment.others().get().size()
                || nowMillis() - clocksSinceMillis >= MAX_WAIT_MILLIS;
    }

    private void askAll() {
        List<String> others = environment.others().get();
        long intervalMillis = Math.max(MIN_ASK_MILLIS, ASK_MILLIS_PER_NODE * others.size());
        boolean known = clocksKnown();
        nextAskMillis =
                nowMillis() + (known ? Math.min(intervalMillis, environment.windowMillis() / 2) : CLOCKS_ASK_MILLIS);
        long first = current().nextToDecide(firstWindow);
        tally.forgetBefore(first);
        Ask ask = new Ask(known ? trueMillis() : Ask.UNKNOWN_TIME, first);
        record(counter.answer(ask));
        byte[] question = ask.encode();
        for (String other : others) {
            environment
                    .transport()
                    .request(other, MessageTypes.USAGE_ASK, question, ASK_TIMEOUT_MILLIS)
                    .thenAcceptAsync(reply -> onReply(other, reply), environment.eventLoop());
        }
    }

    private void onReply(String node, PeerReply reply) {
        if (reply instanceof PeerReply.Answered answered) {
            Answer answer;
            try {
                answer = Answer.decode(answered.payload());
            } catch (IllegalArgumentException e) {
                return;
            }
            clocks.record(node, answer.wallMillis(), nowMillis());
            incarnations.put(node, answer.incarnation());
            record(answer);
        }
    }

    private void record(Answer answer) {
        Map<Long, Map<String, Long>> windows = new HashMap<>();
        answer.windows().forEach(window -> windows.put(window.number(), window.counts()));
        tally.record(answer.incarnation(), windows, answer.openWindow());
    }

    private long window(long trueMillis) {
        return Math.floorDiv(trueMillis, environment.windowMillis());
    }

    /** Decides the next window if it has ended and all nodes have reported since, or have had time to. */
    private void decide() {
        if (!clocksKnown()) {
            return;
        }
        if (firstWindow == UNKNOWN_WINDOW) {
            firstWindow = firstWindow();
        }
        DutyRecord current = current();
        long window = current.nextToDecide(firstWindow);
        long endMillis = (window + 1) * environment.windowMillis();
        boolean ended = trueMillis() >= endMillis;
        if (!ended || calling) {
            return;
        }
        record(counter.answer(new Ask(trueMillis(), window)));
        boolean complete = environment.others().get().stream()
                .allMatch(node -> tally.complete(window, incarnations.getOrDefault(node, "")));
        if (complete || trueMillis() >= endMillis + MAX_WAIT_MILLIS) {
            own = own.withDecided(window, tally.sum(window));
            renew();
        }
    }

    /** Sends the first window that has been decided in the store and not reported. */
    private void send() {
        DutyRecord stored = tenure.record().orElse(DutyRecord.NONE);
        Map.Entry<Long, Map<String, Long>> next =
                stored.decided().higherEntry(Math.max(stored.reported(), own.reported()));
        if (next == null) {
            return;
        }
        long window = next.getKey();
        sending = true;
        environment
                .platform()
                .report(environment.nodeName(), stored.token(), window, next.getValue())
                .onComplete(accepted -> {
                    sending = false;
                    onSent(window, next.getValue(), Boolean.TRUE.equals(accepted.result()));
                });
    }

    private void onSent(long window, Map<String, Long> sent, boolean accepted) {
        environment
                .log()
                .recordDecision(
                        accepted ? EventCode.USAGE_REPORTED : EventCode.USAGE_NOT_REPORTED,
                        "",
                        "window",
                        window,
                        "requests",
                        sent.values().stream().mapToLong(Long::longValue).sum(),
                        "after_end_ms",
                        trueMillis() - (window + 1) * environment.windowMillis());
        if (accepted) {
            own = own.withReported(window);
        } else {
            nextSendMillis = nowMillis() + RESEND_MILLIS;
        }
    }

    private void logTenure(EventCode event, DutyRecord record) {
        environment
                .log()
                .recordDecision(
                        event,
                        "",
                        "duty",
                        SUBJECT,
                        "token",
                        record.token(),
                        "holder",
                        record.machine(),
                        "reported",
                        record.reported(),
                        "decided",
                        record.decided().isEmpty() ? -1 : record.decided().lastKey());
    }

    /** Hands the duty over, after the last call of this node has ended. */
    public void stop() {
        stopping = true;
        release();
    }

    private void release() {
        if (tenure.named() && !calling && !sending) {
            write(current().release(), EventCode.DUTY_RELEASED);
        }
    }
}
