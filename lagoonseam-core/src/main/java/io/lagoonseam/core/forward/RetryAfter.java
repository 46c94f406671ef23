package io.lagoonseam.core.forward;

/** Chooses the retry delay for refused callers, with jitter so that they do not all retry at the same time. */
public final class RetryAfter {

    /** The mean delay, in milliseconds: about the time until a worker is replaced or readmitted after an ejection. */
    private static final long MEAN_DELAY_MILLIS = 400;

    /** The maximum delay as a share of the time left until the deadline. Callers do not wait for longer delays. */
    private static final double MAX_SHARE_OF_TIME_LEFT = 0.3;

    private RetryAfter() {}

    /**
     * Chooses the delay.
     *
     * @param leftMillis the time until the request's deadline, in milliseconds
     * @param draw a random number, at least 0 and less than 1
     * @return the delay, in milliseconds
     */
    public static long delayMillis(long leftMillis, double draw) {
        double jittered = MEAN_DELAY_MILLIS * (0.75 + 0.5 * draw);
        return Math.max(1, Math.round(Math.min(jittered, MAX_SHARE_OF_TIME_LEFT * leftMillis)));
    }
}
