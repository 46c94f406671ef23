package io.lagoonseam.entry.configuration;

import io.lagoonseam.core.configuration.Generation;
import io.lagoonseam.core.configuration.GenerationMonitor;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.lock.LockRank;
import io.lagoonseam.core.lock.RankedLock;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/** The generation in force at this node. A lower generation never replaces a higher one. */
public final class ActiveConfiguration {

    private final RankedLock lock = new RankedLock(LockRank.CONFIGURATION);
    private final AtomicReference<Generation> current = new AtomicReference<>();
    private final GenerationMonitor monitor;

    /**
     * Creates a configuration without a generation in force.
     *
     * @param invariants receives violations of the invariant that the generation never decreases
     */
    public ActiveConfiguration(InvariantMonitor invariants) {
        this.monitor = new GenerationMonitor(invariants);
    }

    /**
     * Returns the generation in force.
     *
     * @return the generation, or empty before the first one
     */
    public Optional<Generation> current() {
        return Optional.ofNullable(current.get());
    }

    /**
     * Puts a generation in force if it is higher than the one in force now, or none is.
     *
     * @param generation the generation
     * @return whether this call put the generation in force
     */
    public boolean offer(Generation generation) {
        return lock.call(() -> {
            Generation before = current.get();
            if (before != null && generation.number() <= before.number()) {
                return false;
            }
            current.set(generation);
            monitor.recordInForce(generation.number());
            return true;
        });
    }
}
