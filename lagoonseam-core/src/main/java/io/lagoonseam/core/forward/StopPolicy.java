package io.lagoonseam.core.forward;

/**
 * Decides what a node that stops still takes. New connections come until the balancer has noticed, and kept ones bring
 * requests until they are closed; whatever is taken has to end before the process is killed.
 */
public final class StopPolicy {

    /**
     * How long streams are taken after the request to stop, in milliseconds: the balancer notices within two of its
     * questions, and a stream that is begun later may not end in time.
     */
    private static final long STREAMS_MILLIS = 2_700;

    /** The part of the time to stop after which requests that still run are left to themselves. */
    private static final double STOP_SHARE = 0.93;

    private final long begunMillis;
    private final long endMillis;

    /**
     * Creates the policy of one stop.
     *
     * @param begunMillis when the node was asked to stop
     * @param stopMillis the time until the process is killed
     */
    public StopPolicy(long begunMillis, long stopMillis) {
        this.begunMillis = begunMillis;
        this.endMillis = begunMillis + Math.round(STOP_SHARE * stopMillis);
    }

    /**
     * Returns whether a request is still taken.
     *
     * @param route its route
     * @param nowMillis the time
     * @return false if it may not end before the process is killed
     */
    public boolean takes(Route route, long nowMillis) {
        if (route.kind().stream()) {
            return nowMillis - begunMillis <= STREAMS_MILLIS;
        }
        return nowMillis + route.timeoutMillis() <= endMillis;
    }

    /**
     * Returns when the process ends although requests still run.
     *
     * @return the time
     */
    public long endMillis() {
        return endMillis;
    }
}
