package io.lagoonseam.core.forward;

/** Chooses the retry delay for refused callers, with jitter so that they do not all retry at the same time. */
public final class RetryAfter {

    /**
     * The mean delay without a longer backlog, in milliseconds: about the time until a worker is replaced or readmitted
     * after an ejection.
     */
    private static final long MEAN_DELAY_MILLIS = 400;

    /** The time over which the retries after a pause of all workers are spread, in milliseconds. */
    private static final long PAUSE_SPREAD_MILLIS = 200;

    /** The maximum delay as a share of the time left until the deadline. Callers do not wait for longer delays. */
    private static final double MAX_SHARE_OF_TIME_LEFT = 0.3;

    private RetryAfter() {}

    /**
     * Chooses the delay.
     *
     * @param leftMillis the time until the request's deadline, in milliseconds
     * @param backlogMillis the expected time until the work before the request is done, in milliseconds; 0 if unknown
     * @param pauseMillis the time for which no worker of the service takes new requests, in milliseconds; 0 if one
     *     does. The delay is never shorter, even if it exceeds the time left, since an earlier retry is refused again
     * @param draw a random number, at least 0 and less than 1
     * @return the delay, in milliseconds
     */
    public static long delayMillis(long leftMillis, long backlogMillis, long pauseMillis, double draw) {
        double jittered = Math.max(MEAN_DELAY_MILLIS, backlogMillis) * (0.75 + 0.5 * draw);
        double honoured = Math.min(jittered, MAX_SHARE_OF_TIME_LEFT * leftMillis);
        double afterPause = pauseMillis > 0 ? pauseMillis + PAUSE_SPREAD_MILLIS * draw : 0;
        return Math.max(1, Math.round(Math.max(honoured, afterPause)));
    }
}
