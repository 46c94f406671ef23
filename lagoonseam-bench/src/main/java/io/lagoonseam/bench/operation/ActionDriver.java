package io.lagoonseam.bench.operation;

import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.operation.BeginRequest;
import io.lagoonseam.core.operation.BeginResult;
import io.lagoonseam.core.operation.OperationKey;
import io.lagoonseam.core.operation.RecordedAnswer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;

/**
 * Simulates callers, sending nodes and the upstream. Each action is begun in the journal of a node, sent to the
 * upstream and recorded; the caller may retry it through another node.
 */
public final class ActionDriver {

    private static final long BEGIN_TIMEOUT_MILLIS = 1_500;
    private static final long MAX_OUTCOME_WAIT_MILLIS = 200;
    private static final long NETWORK_DELAY_MILLIS = 1;
    private static final long MAX_ACTION_MILLIS = 20;
    private static final long MAX_RETRY_DELAY_MILLIS = 5_000;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final int CHECK_ATTEMPTS_PER_KEY = 5;
    private static final int ATTEMPTS_PER_KEY = 4;
    private static final long MAX_LATENCY_MILLIS = 86_400_000; // one day

    private final SimulatedTime time;
    private final Supplier<SimulatedNode> nodes;
    private final ActionFaults faults;
    private final RandomGenerator random;
    private final ActionOracle oracle = new ActionOracle();
    private final Histogram addedMillis = new Histogram(MAX_LATENCY_MILLIS, 3);
    private final List<String> keys = new ArrayList<>();
    private int attempts;

    /**
     * Creates a driver.
     *
     * @param time the simulated clock
     * @param nodes supplies the node that receives each request
     * @param faults the shares of requests with faults
     * @param random the source of all random choices
     */
    public ActionDriver(
            SimulatedTime time, Supplier<SimulatedNode> nodes, ActionFaults faults, RandomGenerator random) {
        this.time = time;
        this.nodes = nodes;
        this.faults = faults;
        this.random = random;
    }

    private record Attempt(String id, OperationKey key, SimulatedNode node, long startMillis) {

        private RecordedAnswer answer() {
            return new RecordedAnswer(
                    200, "application/json", "{\"performed\":\"" + key.key() + "\",\"by\":\"" + id + "\"}");
        }
    }

    /**
     * Schedules actions at a constant rate, starting at the current simulated time.
     *
     * @param count the number of actions, each with a new idempotency key
     * @param perSecond the rate in actions per second
     */
    public void schedule(int count, double perSecond) {
        for (int index = 0; index < count; index++) {
            String key = "key-" + keys.size();
            keys.add(key);
            time.schedule((long) (index * MILLIS_PER_SECOND / perSecond), () -> begin(key, ATTEMPTS_PER_KEY));
        }
    }

    private void begin(String key, int attemptsLeft) {
        OperationKey operation = new OperationKey("zagreb", key, "digest-of-" + key);
        Attempt attempt = new Attempt("request-" + attempts++, operation, nodes.get(), time.monotonicMillis());
        attempt.node()
                .deliver(() -> attempt.node()
                        .journal()
                        .begin(new BeginRequest(operation, attempt.id(), Tier.URGENT, BEGIN_TIMEOUT_MILLIS))
                        .thenAccept(result -> handleBeginResult(attempt, result)));
        if (attemptsLeft > 1 && random.nextDouble() < faults.duplicateShare()) {
            time.schedule(random.nextLong(MAX_RETRY_DELAY_MILLIS), () -> begin(key, attemptsLeft - 1));
        }
    }

    private void handleBeginResult(Attempt attempt, BeginResult result) {
        String key = attempt.key().key();
        if (result instanceof BeginResult.Started) {
            handleStarted(attempt);
        } else if (result instanceof BeginResult.Completed completed) {
            oracle.recordReportedAnswer(key, completed.answer());
        } else if (result instanceof BeginResult.RanBefore) {
            oracle.recordReportedRan(key);
        } else if (result instanceof BeginResult.InDoubt) {
            confirmWithUpstream(attempt);
        } else {
            oracle.recordReportedNotRun(key, attempt.id());
        }
    }

    private void confirmWithUpstream(Attempt attempt) {
        if (oracle.hasRun(attempt.key().key()) && random.nextBoolean()) {
            attempt.node().journal().confirmRan(attempt.key());
        }
    }

    private void handleStarted(Attempt attempt) {
        long waitedMillis = time.monotonicMillis() - attempt.startMillis();
        if (random.nextDouble() < faults.connectFailureShare()) {
            attempt.node().journal().withdraw(attempt.key(), attempt.id());
            oracle.recordReportedNotRun(attempt.key().key(), attempt.id());
            return;
        }
        time.schedule(NETWORK_DELAY_MILLIS, () -> attempt.node().deliver(() -> send(attempt, waitedMillis)));
    }

    private void send(Attempt attempt, long waitedMillis) {
        oracle.recordSent(attempt.key().key(), attempt.id());
        boolean runs = random.nextDouble() >= faults.dropBeforeShare();
        boolean answers = runs && random.nextDouble() >= faults.dropAfterShare();
        time.schedule(random.nextLong(MAX_ACTION_MILLIS), () -> {
            if (runs) {
                oracle.recordRun(attempt.key().key());
            }
            time.schedule(
                    NETWORK_DELAY_MILLIS,
                    () -> attempt.node().deliver(() -> handleEnd(attempt, answers, waitedMillis)));
        });
    }

    private void handleEnd(Attempt attempt, boolean answered, long waitedMillis) {
        if (!answered) {
            attempt.node().journal().leaveInDoubt(attempt.key(), attempt.id());
            return;
        }
        long answeredMillis = time.monotonicMillis();
        RecordedAnswer answer = attempt.answer();
        boolean[] recorded = new boolean[1];
        Runnable recordAddedLatency = () -> {
            if (!recorded[0]) {
                recorded[0] = true;
                addedMillis.recordValue(waitedMillis + time.monotonicMillis() - answeredMillis);
            }
        };
        time.schedule(MAX_OUTCOME_WAIT_MILLIS, recordAddedLatency);
        attempt.node().journal().complete(attempt.key(), attempt.id(), answer).thenAccept(done -> {
            oracle.recordDurableAnswer(attempt.key().key(), answer);
            recordAddedLatency.run();
        });
    }

    /**
     * Begins every key once more and compares the final answer with the durable one; to be called when all faults have
     * ended.
     */
    public void checkAll() {
        keys.forEach(key -> check(key, CHECK_ATTEMPTS_PER_KEY));
    }

    private void check(String key, int attemptsLeft) {
        OperationKey operation = new OperationKey("zagreb", key, "digest-of-" + key);
        String attemptId = "check-" + key + '-' + attemptsLeft;
        nodes.get()
                .journal()
                .begin(new BeginRequest(operation, attemptId, Tier.BATCH, BEGIN_TIMEOUT_MILLIS))
                .thenAccept(result -> {
                    if (result instanceof BeginResult.Unavailable && attemptsLeft > 1) {
                        time.schedule(MILLIS_PER_SECOND, () -> check(key, attemptsLeft - 1));
                    } else {
                        recordFinalResult(key, result);
                    }
                });
    }

    private void recordFinalResult(String key, BeginResult result) {
        if (result instanceof BeginResult.Completed completed) {
            oracle.recordReportedAnswer(key, completed.answer());
            oracle.checkFinalAnswer(key, completed.answer());
        } else {
            oracle.checkFinalAnswer(key, null);
        }
        if (result instanceof BeginResult.RanBefore) {
            oracle.recordReportedRan(key);
        }
        if (result instanceof BeginResult.Started && oracle.wasSent(key)) {
            oracle.recordSent(key, "check-" + key);
        }
    }

    /**
     * Returns the oracle that holds the actual runs and the results reported to callers.
     *
     * @return the oracle
     */
    public ActionOracle oracle() {
        return oracle;
    }

    /**
     * Returns the latency that the journal added to each answered action: the wait for the durable intent plus the wait
     * for the durable outcome, the latter at most 200 ms.
     *
     * @return a histogram in milliseconds
     */
    public Histogram addedMillis() {
        return addedMillis;
    }
}
