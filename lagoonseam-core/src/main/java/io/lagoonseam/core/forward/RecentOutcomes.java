package io.lagoonseam.core.forward;

/** Counts what came of the attempts of the last seconds, in steps of a quarter of a second. */
public final class RecentOutcomes {

    /**
     * How long an outcome counts, in milliseconds: at a few requests a second for each worker some ten outcomes of all
     * nodes, and short enough that a worker that recovers is soon clean.
     */
    public static final long WINDOW_MILLIS = 3_000;

    private static final int STEPS = 12;
    private static final long STEP_MILLIS = WINDOW_MILLIS / STEPS;

    private final int[] outcomes = new int[STEPS];
    private final int[] failures = new int[STEPS];
    private long step;

    /**
     * Takes an outcome.
     *
     * @param failed whether it speaks against the worker
     * @param nowMillis the time
     */
    public void observe(boolean failed, long nowMillis) {
        forget(nowMillis);
        int place = Math.floorMod(step, STEPS);
        outcomes[place]++;
        failures[place] += failed ? 1 : 0;
    }

    /**
     * Returns what the window holds.
     *
     * @param nowMillis the time
     * @return the count
     */
    public OutcomeCount count(long nowMillis) {
        forget(nowMillis);
        OutcomeCount sum = OutcomeCount.NONE;
        for (int place = 0; place < STEPS; place++) {
            sum = sum.plus(new OutcomeCount(outcomes[place], failures[place]));
        }
        return sum;
    }

    private void forget(long nowMillis) {
        long now = Math.floorDiv(nowMillis, STEP_MILLIS);
        for (long passed = Math.max(step + 1, now - STEPS + 1); passed <= now; passed++) {
            int place = Math.floorMod(passed, STEPS);
            outcomes[place] = 0;
            failures[place] = 0;
        }
        step = Math.max(step, now);
    }
}
