package io.lagoonseam.core.forward;

/** Tells a refused caller when to come back, spread out so that the callers do not all come back together. */
public final class RetryAfter {

    /** The mean pause, in milliseconds: about what a worker takes to be replaced or trusted again. */
    private static final long USUAL_MILLIS = 400;

    /** The part of the time left after which callers do not wait any more. */
    private static final double LARGEST_SHARE = 0.3;

    private RetryAfter() {}

    /**
     * Chooses the pause.
     *
     * @param leftMillis the time that the request has left
     * @param draw a random number from 0 to 1
     * @return milliseconds
     */
    public static long millis(long leftMillis, double draw) {
        double spread = USUAL_MILLIS * (0.75 + 0.5 * draw);
        return Math.max(1, Math.round(Math.min(spread, LARGEST_SHARE * leftMillis)));
    }
}
