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
 */
public record PlacementRequest(PlacementKey key, int priority, WorkerDemand demand, long latestStartMillis) {}
