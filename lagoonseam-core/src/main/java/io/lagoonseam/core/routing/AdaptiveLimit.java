package io.lagoonseam.core.routing;

/**
 * Adaptive limit of the concurrent requests that this node sends to one worker. Uses additive increase while the worker
 * is about as fast as its peers and has no waiting requests, and multiplicative decrease otherwise. Not thread-safe.
 */
public final class AdaptiveLimit {

    private static final double DECREASE_FACTOR = 0.85;
    private static final double INCREASE_STEP = 1;

    /** Time between tokens, relative to the worker's peers, above which the limit decreases. */
    private static final double MAX_SLOW_FACTOR = 1.5;

    private static final long INCREASE_INTERVAL_MILLIS = 100;
    private static final long DECREASE_INTERVAL_MILLIS = 250;

    private int maximum;
    private double limit;
    private long lastChangeMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a limit that starts at its maximum.
     *
     * @param maximum the number of requests that the worker can run concurrently
     */
    public AdaptiveLimit(int maximum) {
        this.maximum = maximum;
        this.limit = maximum;
    }

    /**
     * Sets the maximum from a new configuration. A limit that is at the old maximum moves to the new one; a lower limit
     * is only capped.
     *
     * @param newMaximum the number of requests that the worker can run concurrently
     */
    public void setMaximum(int newMaximum) {
        limit = limit == maximum ? newMaximum : Math.min(limit, newMaximum);
        maximum = newMaximum;
    }

    /**
     * Updates the limit from the worker's mean time between tokens. The limit increases only while it is fully used.
     *
     * @param slowFactor the ratio of the worker's time between tokens to that of its peers
     * @param inFlight the number of this node's requests in flight at the worker
     * @param nowMillis the monotonic time in milliseconds
     */
    public void observePace(double slowFactor, int inFlight, long nowMillis) {
        if (slowFactor > MAX_SLOW_FACTOR) {
            decrease(nowMillis);
        } else {
            increase(inFlight, nowMillis);
        }
    }

    /**
     * Updates the limit from a load report. The limit decreases if any request is waiting at the worker.
     *
     * @param waiting the number of requests waiting at the worker
     * @param nowMillis the monotonic time in milliseconds
     */
    public void observeWaiting(double waiting, long nowMillis) {
        if (waiting >= 1) {
            decrease(nowMillis);
        }
    }

    private void decrease(long nowMillis) {
        if (nowMillis - lastChangeMillis >= DECREASE_INTERVAL_MILLIS) {
            limit = Math.max(1, limit * DECREASE_FACTOR);
            lastChangeMillis = nowMillis;
        }
    }

    private void increase(int inFlight, long nowMillis) {
        boolean fullyUsed = inFlight + 1 >= current();
        if (fullyUsed && nowMillis - lastChangeMillis >= INCREASE_INTERVAL_MILLIS) {
            limit = Math.min(maximum, limit + INCREASE_STEP);
            lastChangeMillis = nowMillis;
        }
    }

    /**
     * Returns the current limit.
     *
     * @return the number of concurrent requests, at least 1
     */
    public int current() {
        return Math.max(1, (int) limit);
    }
}
