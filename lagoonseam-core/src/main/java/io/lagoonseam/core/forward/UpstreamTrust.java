package io.lagoonseam.core.forward;

/**
 * Believes a worker by what it answers, not by what it says of its health. A worker that does not answer, or fails a
 * large part of its requests, is set aside and then gets single requests to show that it is well again.
 */
public final class UpstreamTrust {

    /** The outcomes that are remembered: some tens show a failing share of a third with few errors. */
    private static final double MEMORY = 16;

    /** The failing share above which a worker is set aside; deployments' own errors stay well below it. */
    private static final double FAILING_SHARE = 0.34;

    /** The outcomes below which a share says nothing. */
    private static final double ENOUGH_OUTCOMES = 5;

    /** The silences or refused connections in a row after which a worker is set aside. */
    private static final int SILENCES_IN_A_ROW = 2;

    /** The first pause before a worker is tried again, in milliseconds: about the time of a restart. */
    private static final long FIRST_PAUSE_MILLIS = 700;

    /** The longest pause before a worker is tried again, in milliseconds. */
    private static final long LONGEST_PAUSE_MILLIS = 2_800;

    private double outcomes;
    private double failures;
    private int silences;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private long tryAgainMillis = Long.MIN_VALUE;
    private boolean aside;
    private boolean trying;

    /** What came of an attempt, as far as it speaks for or against the worker. */
    public enum Outcome {
        /** An answer that the worker stands by, a failure of the request's own included. */
        ANSWERED,
        /** An answer that says that the worker failed, or a broken one. */
        FAILED,
        /** No connection, or no answer in time. */
        SILENT,
        /** Another worker answers at the address, so this one is gone. */
        REPLACED
    }

    /**
     * Returns whether the worker may get an ordinary request.
     *
     * @param nowMillis the time
     * @return false while it is set aside
     */
    public boolean trusted(long nowMillis) {
        return !aside || nowMillis >= tryAgainMillis && !trying;
    }

    /**
     * Returns whether the worker is set aside, also when a try is due.
     *
     * @return true until a try succeeds
     */
    public boolean aside() {
        return aside;
    }

    /** Notes that a request is on its way, which is the try if the worker is set aside. */
    public void sent() {
        if (aside) {
            trying = true;
        }
    }

    /**
     * Takes an outcome.
     *
     * @param outcome what came of an attempt
     * @param nowMillis the time
     * @param others what came of the latest attempts at the other workers of the service
     */
    public void observe(Outcome outcome, long nowMillis, OutcomeCount others) {
        double keep = 1 - 1 / MEMORY;
        outcomes = outcomes * keep + 1;
        failures = failures * keep + (outcome == Outcome.ANSWERED ? 0 : 1);
        silences = outcome == Outcome.SILENT ? silences + 1 : 0;
        if (outcome == Outcome.ANSWERED && trying) {
            restore();
            return;
        }
        boolean replaced = outcome == Outcome.REPLACED;
        boolean failing = outcomes >= ENOUGH_OUTCOMES
                && failures > FAILING_SHARE * outcomes
                && FailureComparison.fails(outcomes, failures, others);
        if (outcome != Outcome.ANSWERED
                && (trying || !aside && (replaced || failing || silences >= SILENCES_IN_A_ROW))) {
            setAside(nowMillis);
        }
        trying = false;
    }

    /**
     * Sets the worker aside since it fails more than the others, as all nodes together have seen. The pause is the
     * longest at once: each node tries the worker, so that together they find out soon enough that it is well again.
     *
     * @param nowMillis the time
     * @return whether it was not set aside before
     */
    public boolean foundFailing(long nowMillis) {
        if (aside) {
            return false;
        }
        pauseMillis = LONGEST_PAUSE_MILLIS;
        setAside(nowMillis);
        return true;
    }

    private void restore() {
        aside = false;
        trying = false;
        outcomes = 0;
        failures = 0;
        silences = 0;
        pauseMillis = FIRST_PAUSE_MILLIS;
    }

    private void setAside(long nowMillis) {
        if (aside) {
            pauseMillis = Math.min(2 * pauseMillis, LONGEST_PAUSE_MILLIS);
        }
        aside = true;
        tryAgainMillis = nowMillis + pauseMillis;
    }
}
