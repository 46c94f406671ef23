package io.lagoonseam.core.routing;

/**
 * What a node knows about a worker when it chooses one.
 *
 * @param name the worker's name
 * @param inFlight this node's requests at the worker
 * @param concurrency the most requests this node sends at once
 * @param reportedWaiting the requests waiting at the worker by its last load report
 * @param reportAgeMillis the age of that report
 */
public record WorkerState(String name, int inFlight, int concurrency, double reportedWaiting, long reportAgeMillis) {

    /**
     * Returns whether this node may send one more request.
     *
     * @return true if fewer requests are in flight than the limit
     */
    public boolean hasRoom() {
        return inFlight < concurrency;
    }
}
