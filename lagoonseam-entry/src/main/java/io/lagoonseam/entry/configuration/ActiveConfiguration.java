package io.lagoonseam.entry.configuration;

import io.lagoonseam.core.configuration.Generation;
import io.lagoonseam.core.configuration.GenerationWatch;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.lock.LockRank;
import io.lagoonseam.core.lock.RankedLock;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/** The generation in force at this node. A lower one never replaces it. */
public final class ActiveConfiguration {

    private final RankedLock lock = new RankedLock(LockRank.CONFIGURATION);
    private final AtomicReference<Generation> current = new AtomicReference<>();
    private final GenerationWatch watch;

    /**
     * Creates a configuration with nothing in force.
     *
     * @param invariants the checks at run time
     */
    public ActiveConfiguration(InvariantMonitor invariants) {
        this.watch = new GenerationWatch(invariants);
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
            watch.inForce(generation.number());
            return true;
        });
    }
}
