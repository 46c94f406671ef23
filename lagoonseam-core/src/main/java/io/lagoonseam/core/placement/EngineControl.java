package io.lagoonseam.core.placement;

import io.lagoonseam.core.configuration.Upstream;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** Reads what engines hold and gives them orders. Every stage completes normally. */
public interface EngineControl {

    /**
     * Reads an engine's state.
     *
     * @param engine the engine
     * @return its state, or empty if it does not answer
     */
    CompletionStage<Optional<EngineState>> read(Upstream engine);

    /**
     * Sends an order.
     *
     * @param engine the engine
     * @param order the wanted state
     * @return what came of it
     */
    CompletionStage<OrderResult> order(Upstream engine, EngineOrder order);
}
