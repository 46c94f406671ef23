package io.lagoonseam.core.routing;

import java.util.Map;

/**
 * What a node asks of the home of some workers.
 *
 * @param weight the node's recent arrivals and waiting requests, at least 1
 * @param slots the slots of each worker, by its name
 */
public record CapacityDemand(long weight, Map<String, Long> slots) {

    /** Copies the map. */
    public CapacityDemand {
        slots = Map.copyOf(slots);
    }
}
