package io.lagoonseam.core.forward;

/**
 * Outlier detection for one worker, based on its responses rather than on the health that it reports. A worker is
 * ejected if it is unresponsive, has been replaced, or fails a large share of its requests and significantly more of
 * them than the other workers of its service. After a backoff it gets single requests as half-open probes and is
 * readmitted when one of them succeeds.
 */
public final class OutlierDetector {

    /**
     * The number of outcomes after which the weight of an outcome has decayed to about 1/e. Tens of outcomes suffice to
     * detect a failure rate of one third with few false positives.
     */
    private static final double DECAY_OUTCOMES = 16;

    /**
     * The failure rate above which a worker is ejected. In the known deployments, the rate of failures caused by the
     * requests themselves is well below it.
     */
    private static final double MAX_FAILURE_RATE = 0.34;

    /** The minimum total weight of outcomes; below it, the failure rate is not significant. */
    private static final double MIN_OUTCOMES = 5;

    /** The number of consecutive response timeouts or failed connections after which a worker is ejected. */
    private static final int UNRESPONSIVE_COUNT_TO_EJECT = 2;

    /** The first ejection backoff, in milliseconds: about the duration of a restart. */
    private static final long INITIAL_BACKOFF_MILLIS = 700;

    /** The maximum ejection backoff, in milliseconds. */
    private static final long MAX_BACKOFF_MILLIS = 2_800;

    /**
     * How long a half-open probe may have no outcome until the next one, in milliseconds: its caller may have left, or
     * its node may be cut off.
     */
    private static final long MAX_PROBE_MILLIS = 2 * MAX_BACKOFF_MILLIS;

    private double outcomes;
    private double failures;
    private int consecutiveUnresponsive;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;
    private long probeAtMillis = Long.MIN_VALUE;
    private boolean ejected;
    private boolean probing;
    private long probeSentMillis;
    private long checkedMillis;

    /** The outcome of an attempt, as evidence of the worker's health. */
    public enum Outcome {
        /** A valid answer, including an error caused by the request itself. */
        ANSWERED,
        /** An answer that reports a failure of the worker, or a broken answer. */
        FAILED,
        /** No connection, or no answer within the response timeout. */
        SILENT,
        /** Another worker answers at the address, so this one is gone. */
        REPLACED
    }

    /**
     * Returns whether the worker may get a request.
     *
     * @param nowMillis the current time, in milliseconds
     * @return false while the worker is ejected, unless a half-open probe is due and none is running, or the one that
     *     is has had no outcome for long
     */
    public boolean acceptsRequests(long nowMillis) {
        checkedMillis = nowMillis;
        boolean probeLost = nowMillis - probeSentMillis >= MAX_PROBE_MILLIS;
        return !ejected || nowMillis >= probeAtMillis && (!probing || probeLost);
    }

    /**
     * Returns whether the worker is ejected, even if a half-open probe is due.
     *
     * @return true until a half-open probe succeeds
     */
    public boolean ejected() {
        return ejected;
    }

    /**
     * Records that a request is sent after {@link #acceptsRequests} was asked, which is the half-open probe if the
     * worker is ejected.
     */
    public void requestSent() {
        if (ejected) {
            probing = true;
            probeSentMillis = checkedMillis;
        }
    }

    /**
     * Records the outcome of an attempt.
     *
     * @param outcome the outcome of the attempt
     * @param nowMillis the current time, in milliseconds
     * @param others the outcomes of the recent attempts at the other workers of the service
     */
    public void observe(Outcome outcome, long nowMillis, OutcomeCount others) {
        double decay = 1 - 1 / DECAY_OUTCOMES;
        outcomes = outcomes * decay + 1;
        failures = failures * decay + (outcome == Outcome.ANSWERED ? 0 : 1);
        consecutiveUnresponsive = outcome == Outcome.SILENT ? consecutiveUnresponsive + 1 : 0;
        if (outcome == Outcome.ANSWERED && probing) {
            readmit();
            return;
        }
        boolean replaced = outcome == Outcome.REPLACED;
        boolean failing = outcomes >= MIN_OUTCOMES
                && failures > MAX_FAILURE_RATE * outcomes
                && FailureComparison.failsMoreOften(outcomes, failures, others);
        if (outcome != Outcome.ANSWERED
                && (probing
                        || !ejected
                                && (replaced || failing || consecutiveUnresponsive >= UNRESPONSIVE_COUNT_TO_EJECT))) {
            eject(nowMillis);
        }
        probing = false;
    }

    /**
     * Ejects the worker because it fails more often than the others according to the outcomes of all nodes. The backoff
     * starts at its maximum: each node sends half-open probes, so that together they detect a recovery soon enough.
     *
     * @param nowMillis the current time, in milliseconds
     * @return whether the worker was not ejected before
     */
    public boolean ejectOutlier(long nowMillis) {
        if (ejected) {
            return false;
        }
        backoffMillis = MAX_BACKOFF_MILLIS;
        eject(nowMillis);
        return true;
    }

    private void readmit() {
        ejected = false;
        probing = false;
        outcomes = 0;
        failures = 0;
        consecutiveUnresponsive = 0;
        backoffMillis = INITIAL_BACKOFF_MILLIS;
    }

    private void eject(long nowMillis) {
        if (ejected) {
            backoffMillis = Math.min(2 * backoffMillis, MAX_BACKOFF_MILLIS);
        }
        ejected = true;
        probeAtMillis = nowMillis + backoffMillis;
    }
}
