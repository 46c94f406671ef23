package io.lagoonseam.bench.experiment.policy;

import io.lagoonseam.bench.fleet.LocalFleet;

/** Brings about the faults of an experiment while traffic runs. */
@FunctionalInterface
public interface FaultScript {

    /** No faults. */
    FaultScript NONE = fleet -> {};

    /**
     * Schedules the faults by timers of the fleet's Vert.x instance; called as traffic starts.
     *
     * @param fleet the running fleet
     */
    void schedule(LocalFleet fleet);
}
