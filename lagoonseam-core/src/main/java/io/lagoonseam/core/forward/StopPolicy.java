package io.lagoonseam.core.forward;

/**
 * Decides which requests a stopping node still accepts. New connections arrive until the load balancer has detected the
 * stop, and open ones bring requests until they are closed. Every accepted request has to end before the process is
 * killed.
 */
public final class StopPolicy {

    /**
     * How long streams are accepted after the request to stop, in milliseconds. The load balancer detects the stop
     * within two of its health checks, and a stream that begins later might not end in time.
     */
    private static final long ACCEPT_STREAMS_MILLIS = 2_700;

    /** The share of the stop time in which streams are accepted at most. */
    private static final double ACCEPT_STREAMS_SHARE = 0.34;

    /** The share of the stop time after which the node no longer waits for running requests. */
    private static final double DRAIN_SHARE = 0.93;

    private final long stopRequestedMillis;
    private final long exitMillis;
    private final long acceptStreamsMillis;

    /**
     * Creates the policy for one stop.
     *
     * @param stopRequestedMillis the time at which the node was requested to stop, in milliseconds
     * @param stopMillis the duration from then until the process is killed, in milliseconds
     */
    public StopPolicy(long stopRequestedMillis, long stopMillis) {
        this.stopRequestedMillis = stopRequestedMillis;
        this.acceptStreamsMillis = Math.min(ACCEPT_STREAMS_MILLIS, Math.round(ACCEPT_STREAMS_SHARE * stopMillis));
        this.exitMillis = stopRequestedMillis + Math.round(DRAIN_SHARE * stopMillis);
    }

    /**
     * Returns whether a request is still accepted.
     *
     * @param route its route
     * @param nowMillis the current time, in milliseconds
     * @return false for a stream after the period in which streams are accepted, and for another request that might
     *     still be running at {@link #exitMillis}
     */
    public boolean accepts(Route route, long nowMillis) {
        if (route.kind().stream()) {
            return nowMillis - stopRequestedMillis <= acceptStreamsMillis;
        }
        return nowMillis + route.timeoutMillis() <= exitMillis;
    }

    /**
     * Returns the time at which the process exits even if requests are still running.
     *
     * @return the time, in milliseconds
     */
    public long exitMillis() {
        return exitMillis;
    }
}
