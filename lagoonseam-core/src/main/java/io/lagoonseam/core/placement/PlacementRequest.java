package io.lagoonseam.core.placement;

import io.lagoonseam.core.forward.WorkerDemand;

/**
 * A request for which a node asks the home for a worker.
 *
 * @param key identifies the attempt
 * @param priority the priority of the request; 0 is the most urgent
 * @param demand what it asks of a worker
 * @param latestStartMillis the time at which it leaves the queue unplaced, on the home's monotonic clock, in
 *     milliseconds
 * @param answer what is known of its answer
 */
public record PlacementRequest(
        PlacementKey key, int priority, WorkerDemand demand, long latestStartMillis, ExpectedAnswer answer) {

    /** Creates a request of whose answer nothing is known. */
    public PlacementRequest(PlacementKey key, int priority, WorkerDemand demand, long latestStartMillis) {
        this(key, priority, demand, latestStartMillis, ExpectedAnswer.UNKNOWN);
    }
}
