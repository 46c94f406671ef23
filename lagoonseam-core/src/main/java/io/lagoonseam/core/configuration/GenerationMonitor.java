package io.lagoonseam.core.configuration;

import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.invariant.InvariantMonitor;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Checks that the configuration generations in force at a node never decrease, independently of the code that selects
 * them.
 */
public final class GenerationMonitor {

    private final AtomicLong highest = new AtomicLong();
    private final InvariantMonitor invariants;

    /**
     * Creates a monitor to which no generation has been reported.
     *
     * @param invariants receives violations
     */
    public GenerationMonitor(InvariantMonitor invariants) {
        this.invariants = invariants;
    }

    /**
     * Records that a generation came into force.
     *
     * @param number the number of the generation
     */
    public void recordInForce(long number) {
        long previous = highest.getAndAccumulate(number, Math::max);
        invariants.check(
                Invariant.GENERATION_NEVER_FALLS,
                number >= previous,
                "generation " + number + " put in force after generation " + previous);
    }
}
