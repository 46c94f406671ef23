package io.lagoonseam.core.routing;

/**
 * The most requests that this node sends to a worker at once: additive increase while the worker keeps pace with its
 * peers and nothing waits there, multiplicative decrease otherwise. Not thread-safe.
 */
public final class AdaptiveLimit {

    private static final double DECREASE = 0.85;
    private static final double INCREASE = 1;
    private static final double SLOW_FACTOR = 1.5;
    private static final long INCREASE_INTERVAL_MILLIS = 100;
    private static final long DECREASE_INTERVAL_MILLIS = 250;

    private int maximum;
    private double limit;
    private long changedAtMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a limit at its maximum.
     *
     * @param maximum the most requests that the worker runs at once
     */
    public AdaptiveLimit(int maximum) {
        this.maximum = maximum;
        this.limit = maximum;
    }

    /**
     * Sets the maximum from a new configuration.
     *
     * @param newMaximum the most requests that the worker runs at once
     */
    public void maximum(int newMaximum) {
        limit = limit == maximum ? newMaximum : Math.min(limit, newMaximum);
        maximum = newMaximum;
    }

    /**
     * Learns from the pace of one stream.
     *
     * @param slowFactor the worker's time between tokens over its peers'
     * @param inFlight this node's requests at the worker
     * @param nowMillis the monotonic time
     */
    public void observePace(double slowFactor, int inFlight, long nowMillis) {
        if (slowFactor > SLOW_FACTOR) {
            decrease(nowMillis);
        } else {
            increase(inFlight, nowMillis);
        }
    }

    /**
     * Learns from a load report.
     *
     * @param waiting the requests that wait at the worker
     * @param nowMillis the monotonic time
     */
    public void observeWaiting(double waiting, long nowMillis) {
        if (waiting >= 1) {
            decrease(nowMillis);
        }
    }

    private void decrease(long nowMillis) {
        if (nowMillis - changedAtMillis >= DECREASE_INTERVAL_MILLIS) {
            limit = Math.max(1, limit * DECREASE);
            changedAtMillis = nowMillis;
        }
    }

    private void increase(int inFlight, long nowMillis) {
        boolean used = inFlight + 1 >= current();
        if (used && nowMillis - changedAtMillis >= INCREASE_INTERVAL_MILLIS) {
            limit = Math.min(maximum, limit + INCREASE);
            changedAtMillis = nowMillis;
        }
    }

    /**
     * Returns the limit.
     *
     * @return requests, at least 1
     */
    public int current() {
        return Math.max(1, (int) limit);
    }
}
