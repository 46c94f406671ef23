package io.lagoonseam.core.routing;

import java.util.Map;

/**
 * Demand for worker capacity that a node sends to the home of some workers.
 *
 * @param weight the number of requests that recently arrived or are waiting at the node, at least 1
 * @param slots the number of slots of each worker, by worker name
 */
public record CapacityDemand(long weight, Map<String, Long> slots) {

    /** Makes an immutable copy of the map. */
    public CapacityDemand {
        slots = Map.copyOf(slots);
    }
}
