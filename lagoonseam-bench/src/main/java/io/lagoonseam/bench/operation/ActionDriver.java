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

/** Callers, senders and the upstream: each action is begun, sent, recorded, and perhaps sent again elsewhere. */
public final class ActionDriver {

    private static final long BEGIN_WAIT_MILLIS = 1_500;
    private static final long OUTCOME_WAIT_MILLIS = 200;
    private static final long SEND_MILLIS = 1;
    private static final long ACTION_MILLIS = 20;
    private static final long RESEND_MILLIS = 5_000;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final int CHECK_TRIES = 5;
    private static final int ATTEMPTS_PER_KEY = 4;
    private static final long DAY_MILLIS = 86_400_000;

    private final VirtualTime time;
    private final Supplier<SimulatedNode> nodes;
    private final ActionFaults faults;
    private final RandomGenerator random;
    private final ActionOracle oracle = new ActionOracle();
    private final Histogram addedMillis = new Histogram(DAY_MILLIS, 3);
    private final List<String> keys = new ArrayList<>();
    private int attempts;

    /**
     * Creates a driver.
     *
     * @param time the virtual clock
     * @param nodes chooses the node of each request
     * @param faults what goes wrong
     * @param random the source of all choices
     */
    public ActionDriver(VirtualTime time, Supplier<SimulatedNode> nodes, ActionFaults faults, RandomGenerator random) {
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
     * Schedules actions at a steady rate from now on.
     *
     * @param count the number of keys
     * @param perSecond the rate
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
                        .begin(new BeginRequest(operation, attempt.id(), Tier.URGENT, BEGIN_WAIT_MILLIS))
                        .thenAccept(result -> begun(attempt, result)));
        if (attemptsLeft > 1 && random.nextDouble() < faults.duplicateShare()) {
            time.schedule(random.nextLong(RESEND_MILLIS), () -> begin(key, attemptsLeft - 1));
        }
    }

    private void begun(Attempt attempt, BeginResult result) {
        String key = attempt.key().key();
        if (result instanceof BeginResult.Started) {
            started(attempt);
        } else if (result instanceof BeginResult.Completed completed) {
            oracle.toldAnswer(key, completed.answer());
        } else if (result instanceof BeginResult.RanBefore) {
            oracle.toldRan(key);
        } else if (result instanceof BeginResult.InDoubt) {
            askUpstream(attempt);
        } else {
            oracle.toldNotRun(key, attempt.id());
        }
    }

    private void askUpstream(Attempt attempt) {
        if (oracle.hasRun(attempt.key().key()) && random.nextBoolean()) {
            attempt.node().journal().confirmRan(attempt.key());
        }
    }

    private void started(Attempt attempt) {
        long waitedMillis = time.monotonicMillis() - attempt.startMillis();
        if (random.nextDouble() < faults.connectFailureShare()) {
            attempt.node().journal().withdraw(attempt.key(), attempt.id());
            oracle.toldNotRun(attempt.key().key(), attempt.id());
            return;
        }
        time.schedule(SEND_MILLIS, () -> attempt.node().deliver(() -> send(attempt, waitedMillis)));
    }

    private void send(Attempt attempt, long waitedMillis) {
        oracle.sent(attempt.key().key(), attempt.id());
        boolean runs = random.nextDouble() >= faults.dropBeforeShare();
        boolean answers = runs && random.nextDouble() >= faults.dropAfterShare();
        time.schedule(random.nextLong(ACTION_MILLIS), () -> {
            if (runs) {
                oracle.ran(attempt.key().key());
            }
            time.schedule(SEND_MILLIS, () -> attempt.node().deliver(() -> ended(attempt, answers, waitedMillis)));
        });
    }

    private void ended(Attempt attempt, boolean answered, long waitedMillis) {
        if (!answered) {
            attempt.node().journal().leaveInDoubt(attempt.key(), attempt.id());
            return;
        }
        long answeredMillis = time.monotonicMillis();
        RecordedAnswer answer = attempt.answer();
        boolean[] told = new boolean[1];
        Runnable tell = () -> {
            if (!told[0]) {
                told[0] = true;
                addedMillis.recordValue(waitedMillis + time.monotonicMillis() - answeredMillis);
            }
        };
        time.schedule(OUTCOME_WAIT_MILLIS, tell);
        attempt.node().journal().complete(attempt.key(), attempt.id(), answer).thenAccept(done -> {
            oracle.durable(attempt.key().key(), answer);
            tell.run();
        });
    }

    /** Asks for every key once more; run after all faults have ended. */
    public void checkAll() {
        keys.forEach(key -> check(key, CHECK_TRIES));
    }

    private void check(String key, int triesLeft) {
        OperationKey operation = new OperationKey("zagreb", key, "digest-of-" + key);
        String attemptId = "check-" + key + '-' + triesLeft;
        nodes.get()
                .journal()
                .begin(new BeginRequest(operation, attemptId, Tier.BATCH, BEGIN_WAIT_MILLIS))
                .thenAccept(result -> {
                    if (result instanceof BeginResult.Unavailable && triesLeft > 1) {
                        time.schedule(MILLIS_PER_SECOND, () -> check(key, triesLeft - 1));
                    } else {
                        checkFinal(key, result);
                    }
                });
    }

    private void checkFinal(String key, BeginResult result) {
        if (result instanceof BeginResult.Completed completed) {
            oracle.toldAnswer(key, completed.answer());
            oracle.finalWord(key, completed.answer());
        } else {
            oracle.finalWord(key, null);
        }
        if (result instanceof BeginResult.RanBefore) {
            oracle.toldRan(key);
        }
        if (result instanceof BeginResult.Started && oracle.wasSent(key)) {
            oracle.sent(key, "check-" + key);
        }
    }

    /**
     * Returns what is known of the truth.
     *
     * @return the oracle
     */
    public ActionOracle oracle() {
        return oracle;
    }

    /**
     * Returns the time that the journal added to each answered action.
     *
     * @return a histogram of milliseconds
     */
    public Histogram addedMillis() {
        return addedMillis;
    }
}
