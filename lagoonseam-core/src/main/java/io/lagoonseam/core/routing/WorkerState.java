package io.lagoonseam.core.routing;

/**
 * Snapshot of a worker on which worker selection is based.
 *
 * @param name the worker's name
 * @param inFlight the number of this node's requests in flight at the worker
 * @param concurrency the maximum number of concurrent requests that this node sends to the worker
 * @param reportedWaiting the number of requests waiting at the worker according to its last load report
 * @param reportAgeMillis the age of that load report in milliseconds
 * @param reportedOtherRequests the number of requests of other nodes at the worker according to that load report
 * @param exchangedOtherRequests the number of requests of other nodes at the worker as exchanged between the nodes, or
 *     -1 if unknown
 * @param slowFactor the ratio of the worker's time between tokens to that of its peers; 1 if it is not known to be
 *     slower
 */
public record WorkerState(
        String name,
        int inFlight,
        int concurrency,
        double reportedWaiting,
        long reportAgeMillis,
        double reportedOtherRequests,
        double exchangedOtherRequests,
        double slowFactor) {

    private static final double UNKNOWN = -1;

    /**
     * Creates the state of a worker that no other node uses and that is as fast as its peers.
     *
     * @param name the worker's name
     * @param inFlight the number of this node's requests in flight at the worker
     * @param concurrency the maximum number of concurrent requests that this node sends to the worker
     * @param reportedWaiting the number of requests waiting at the worker according to its last load report
     * @param reportAgeMillis the age of that load report in milliseconds
     */
    public WorkerState(String name, int inFlight, int concurrency, double reportedWaiting, long reportAgeMillis) {
        this(name, inFlight, concurrency, reportedWaiting, reportAgeMillis, 0, UNKNOWN, 1);
    }

    /**
     * Returns whether this node may send another request to the worker.
     *
     * @return true if fewer requests are in flight than the concurrency limit
     */
    public boolean hasRoom() {
        return inFlight < concurrency;
    }
}
