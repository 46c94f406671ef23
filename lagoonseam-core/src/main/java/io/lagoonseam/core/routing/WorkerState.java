package io.lagoonseam.core.routing;

/**
 * What a node knows about a worker when it chooses one.
 *
 * @param name the worker's name
 * @param inFlight this node's requests at the worker
 * @param concurrency the most requests this node sends at once
 * @param reportedWaiting the requests waiting at the worker by its last load report
 * @param reportAgeMillis the age of that report
 * @param othersReported the requests of other nodes at the worker by that report
 * @param othersExchanged the requests of other nodes at the worker by their own word, or -1 if they gave none
 * @param slowFactor the worker's time between tokens over its peers', 1 if it is not known to be slower
 */
public record WorkerState(
        String name,
        int inFlight,
        int concurrency,
        double reportedWaiting,
        long reportAgeMillis,
        double othersReported,
        double othersExchanged,
        double slowFactor) {

    private static final double UNKNOWN = -1;

    /**
     * Creates the state of a worker that only this node uses.
     *
     * @param name the worker's name
     * @param inFlight this node's requests at the worker
     * @param concurrency the most requests this node sends at once
     * @param reportedWaiting the requests waiting at the worker by its last load report
     * @param reportAgeMillis the age of that report
     */
    public WorkerState(String name, int inFlight, int concurrency, double reportedWaiting, long reportAgeMillis) {
        this(name, inFlight, concurrency, reportedWaiting, reportAgeMillis, 0, UNKNOWN, 1);
    }

    /**
     * Returns whether this node may send one more request.
     *
     * @return true if fewer requests are in flight than the limit
     */
    public boolean hasRoom() {
        return inFlight < concurrency;
    }
}
