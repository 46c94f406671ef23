package io.lagoonseam.core.placement;

import java.util.List;

/**
 * What an engine holds.
 *
 * @param fencing the highest fencing number it has seen
 * @param draining whether it takes no new work
 * @param running the streams that it runs
 * @param models its models
 */
public record EngineState(long fencing, boolean draining, int running, List<HeldModel> models) {

    /** Copies the list. */
    public EngineState {
        models = List.copyOf(models);
    }

    /**
     * One model of an engine.
     *
     * @param name its name
     * @param version its version
     * @param ready whether it can serve
     */
    public record HeldModel(String name, String version, boolean ready) {}

    /**
     * Returns whether the engine serves a model.
     *
     * @param model the model's name
     * @return true if it is ready and the engine takes work
     */
    public boolean serves(String model) {
        return !draining
                && models.stream().anyMatch(held -> held.ready() && held.name().equals(model));
    }
}
