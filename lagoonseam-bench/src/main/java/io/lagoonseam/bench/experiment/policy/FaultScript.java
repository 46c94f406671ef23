package io.lagoonseam.bench.experiment.policy;

import io.lagoonseam.bench.fleet.LocalFleet;

/** Injects the faults of an experiment while traffic runs. */
@FunctionalInterface
public interface FaultScript {

    /** No faults. */
    FaultScript NONE = fleet -> {};

    /**
     * Schedules the faults with timers of the fleet's Vert.x instance. Called when the traffic starts.
     *
     * @param fleet the running fleet
     */
    void schedule(LocalFleet fleet);
}
