package io.lagoonseam.core.audit;

import io.lagoonseam.core.lock.LockRank;
import io.lagoonseam.core.lock.RankedLock;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Keeps what was decided about the latest requests of a node. */
public final class RequestTrail {

    private static final int REQUESTS = 4_096;
    private static final int STEPS = 32;

    private final RankedLock lock = new RankedLock(LockRank.TRAIL);
    private final Map<String, List<RequestStep>> steps = new LinkedHashMap<>();
    private volatile long generation;

    /**
     * Adds a step to a request's record.
     *
     * @param id the request's id
     * @param step what was decided
     */
    public void add(String id, RequestStep step) {
        lock.run(() -> {
            List<RequestStep> own = steps.computeIfAbsent(id, unknown -> new ArrayList<>());
            if (own.size() < STEPS || step.kind() == RequestStep.Kind.ENDED) {
                own.add(step);
            }
            removeEldest();
        });
    }

    private void removeEldest() {
        if (steps.size() > REQUESTS) {
            steps.remove(steps.keySet().iterator().next());
        }
    }

    /**
     * Takes note of the generation in force.
     *
     * @param value its number
     */
    public void generation(long value) {
        generation = value;
    }

    /**
     * Returns the generation in force.
     *
     * @return its number, 0 for none
     */
    public long generation() {
        return generation;
    }

    /**
     * Returns what was decided about a request.
     *
     * @param id the request's id
     * @return its steps in order, or empty if it is not known here or was long ago
     */
    public Optional<List<RequestStep>> find(String id) {
        return lock.call(() -> Optional.ofNullable(steps.get(id)).map(List::copyOf));
    }
}
