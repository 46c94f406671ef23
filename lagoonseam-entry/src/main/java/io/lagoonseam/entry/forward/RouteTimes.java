package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.Route;

/** The times for which a request waits, and is remembered, as they follow from the objectives of its route. */
final class RouteTimes {

    /** Share of the latency objective that a request waits for a slot before it is refused. */
    private static final double SLOT_WAIT_SHARE = 0.35;

    /**
     * Minimum time that a stream which has begun waits for a slot, in milliseconds: half of the shortest gap after
     * which callers abandon a stream, since few workers may have its version.
     */
    private static final long GOING_ON_WAIT_MILLIS = 1_000;

    /** Share of the latency objective that a request waits if this node knows no worker. */
    private static final double NO_WORKER_WAIT_SHARE = 0.12;

    /**
     * Minimum response timeout, until a worker sends the first events of a request that may be retried, as a multiple
     * of the latency objective; twice the expected time to the first event applies if it is longer.
     */
    private static final double RESPONSE_TIMEOUT_FACTOR = 1.5;

    /** Idle timeout of a resumable stream from a worker, as a multiple of the objective for the gap between events. */
    private static final double STREAM_IDLE_TIMEOUT_FACTOR = 3;

    /** How long a stream is remembered after its first event, in milliseconds, if its timeout is not longer. */
    private static final long MIN_ORIGIN_LIFETIME_MILLIS = 30_000;

    private static final long MAX_ORIGIN_LIFETIME_MILLIS = 600_000;

    private final Route route;

    RouteTimes(Route route) {
        this.route = route;
    }

    /**
     * Returns how long a request may take.
     *
     * @param callerTimeoutMillis the timeout that its caller states, in milliseconds; 0 if it states none
     * @return the time, in milliseconds
     */
    long longestMillis(long callerTimeoutMillis) {
        return callerTimeoutMillis > 0 ? Math.min(callerTimeoutMillis, route.timeoutMillis()) : route.timeoutMillis();
    }

    /**
     * Returns how long a request waits for a slot.
     *
     * @param workersKnown whether this node knows any worker
     * @param goingOn whether it is a stream that has begun
     * @return the time, in milliseconds
     */
    long queueWaitMillis(boolean workersKnown, boolean goingOn) {
        double share = workersKnown ? SLOT_WAIT_SHARE : NO_WORKER_WAIT_SHARE;
        long slotWaitMillis = Math.round(share * route.objectiveMillis());
        return goingOn ? Math.max(slotWaitMillis, GOING_ON_WAIT_MILLIS) : slotWaitMillis;
    }

    /**
     * Returns how long a worker may take until it sends the first events.
     *
     * @param expectedMillis the time that it is expected to take, in milliseconds
     * @return the time, in milliseconds
     */
    long responseTimeoutMillis(double expectedMillis) {
        return Math.max(Math.round(RESPONSE_TIMEOUT_FACTOR * route.objectiveMillis()), Math.round(2 * expectedMillis));
    }

    /** Returns how long a resumable stream may pause, in milliseconds. */
    long idleTimeoutMillis() {
        return Math.round(STREAM_IDLE_TIMEOUT_FACTOR * route.gapObjectiveMillis());
    }

    /**
     * Returns how long a stream is remembered.
     *
     * @param callerTimeoutMillis the timeout that its caller states, in milliseconds
     * @return the time, in milliseconds
     */
    long originLifetimeMillis(long callerTimeoutMillis) {
        long timeoutMillis = Math.max(callerTimeoutMillis, route.timeoutMillis());
        return Math.min(Math.max(MIN_ORIGIN_LIFETIME_MILLIS, timeoutMillis), MAX_ORIGIN_LIFETIME_MILLIS);
    }
}
