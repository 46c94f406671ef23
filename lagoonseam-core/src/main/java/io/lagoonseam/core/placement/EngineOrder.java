package io.lagoonseam.core.placement;

import java.util.List;

/**
 * The wanted state of an engine. Sent again, it changes nothing.
 *
 * @param fencing the fencing number of the lease under which it is sent
 * @param draining whether the engine is to take no new work
 * @param models the models it is to hold
 */
public record EngineOrder(long fencing, boolean draining, List<ModelVersion> models) {

    /** Copies the list. */
    public EngineOrder {
        models = List.copyOf(models);
    }

    /**
     * A model in a version.
     *
     * @param name the model's name
     * @param version the version
     */
    public record ModelVersion(String name, String version) {}
}
