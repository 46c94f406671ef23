package io.lagoonseam.core.configuration;

import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.invariant.InvariantMonitor;
import java.util.concurrent.atomic.AtomicLong;

/** Sees the generations that a node's tables were configured with, apart from what decides on them. */
public final class GenerationWatch {

    private final AtomicLong highest = new AtomicLong();
    private final InvariantMonitor invariants;

    /**
     * Creates a watch that has seen nothing.
     *
     * @param invariants where violations go
     */
    public GenerationWatch(InvariantMonitor invariants) {
        this.invariants = invariants;
    }

    /**
     * Notes that a generation was put in force.
     *
     * @param number the generation
     */
    public void inForce(long number) {
        long before = highest.getAndAccumulate(number, Math::max);
        invariants.check(
                Invariant.GENERATION_NEVER_FALLS, number >= before, "generation " + number + " after " + before);
    }
}
