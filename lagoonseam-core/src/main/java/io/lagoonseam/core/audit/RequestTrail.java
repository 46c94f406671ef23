package io.lagoonseam.core.audit;

import io.lagoonseam.core.lock.LockRank;
import io.lagoonseam.core.lock.RankedLock;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Bounded history of the decisions about the latest requests of a node. Thread-safe. */
public final class RequestTrail {

    private static final int MAX_REQUESTS = 4_096;
    private static final int MAX_STEPS_PER_REQUEST = 32;

    private final RankedLock lock = new RankedLock(LockRank.TRAIL);
    private final Map<String, List<RequestStep>> steps = new LinkedHashMap<>();
    private volatile long generation;

    /**
     * Adds a step to the history of a request. Over the limit of steps, only the final step is added.
     *
     * @param id the id of the request
     * @param step the step
     */
    public void add(String id, RequestStep step) {
        lock.run(() -> {
            List<RequestStep> requestSteps = steps.computeIfAbsent(id, key -> new ArrayList<>());
            if (requestSteps.size() < MAX_STEPS_PER_REQUEST || step.kind() == RequestStep.Kind.ENDED) {
                requestSteps.add(step);
            }
            evictOldest();
        });
    }

    private void evictOldest() {
        if (steps.size() > MAX_REQUESTS) {
            steps.remove(steps.keySet().iterator().next());
        }
    }

    /**
     * Sets the generation of the configuration in force.
     *
     * @param value the number of the generation
     */
    public void setGeneration(long value) {
        generation = value;
    }

    /**
     * Returns the generation of the configuration in force.
     *
     * @return the number of the generation, 0 if none is in force
     */
    public long generation() {
        return generation;
    }

    /**
     * Returns the steps of a request.
     *
     * @param id the id of the request
     * @return the steps in order, empty if the request is unknown to this node or has been evicted
     */
    public Optional<List<RequestStep>> find(String id) {
        return lock.call(() -> Optional.ofNullable(steps.get(id)).map(List::copyOf));
    }
}
