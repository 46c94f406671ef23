package io.lagoonseam.core.placement;

import io.lagoonseam.core.configuration.Upstream;

/** One small step towards the wanted state. */
public sealed interface PlannedStep permits PlannedStep.Drain, PlannedStep.Load {

    /**
     * Returns the engine that the step concerns.
     *
     * @return the engine
     */
    Upstream engine();

    /**
     * Stops new work at an engine that is to hold another model.
     *
     * @param engine the engine
     */
    record Drain(Upstream engine) implements PlannedStep {}

    /**
     * Loads a model on an engine without work.
     *
     * @param engine the engine
     * @param model the model
     */
    record Load(Upstream engine, EngineOrder.ModelVersion model) implements PlannedStep {}
}
