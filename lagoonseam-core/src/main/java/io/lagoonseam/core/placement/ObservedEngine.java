package io.lagoonseam.core.placement;

import io.lagoonseam.core.configuration.Upstream;

/**
 * An engine with what it holds.
 *
 * @param upstream the engine
 * @param state its state when it was last read
 */
public record ObservedEngine(Upstream upstream, EngineState state) {}
