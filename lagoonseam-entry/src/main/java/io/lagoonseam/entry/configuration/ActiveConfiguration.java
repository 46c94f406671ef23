package io.lagoonseam.entry.configuration;

import io.lagoonseam.core.configuration.Generation;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.lock.LockRank;
import io.lagoonseam.core.lock.RankedLock;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/** The generation in force at this node. A lower one never replaces it. */
public final class ActiveConfiguration {

    private final RankedLock lock = new RankedLock(LockRank.CONFIGURATION);
    private final AtomicReference<Generation> current = new AtomicReference<>();
    private final InvariantMonitor invariants;

    /**
     * Creates a configuration with nothing in force.
     *
     * @param invariants the checks at run time
     */
    public ActiveConfiguration(InvariantMonitor invariants) {
        this.invariants = invariants;
    }

    /**
     * Returns what is in force.
     *
     * @return the generation, or empty before the first
     */
    public Optional<Generation> current() {
        return Optional.ofNullable(current.get());
    }

    /**
     * Puts a generation in force unless a higher one is.
     *
     * @param generation the generation
     * @return whether it is now in force and was not before
     */
    public boolean offer(Generation generation) {
        return lock.call(() -> {
            Generation before = current.get();
            if (before != null && generation.number() <= before.number()) {
                return false;
            }
            current.set(generation);
            invariants.check(
                    Invariant.GENERATION_NEVER_FALLS,
                    before == null || before.number() < generation.number(),
                    "generation " + generation.number());
            return true;
        });
    }
}
