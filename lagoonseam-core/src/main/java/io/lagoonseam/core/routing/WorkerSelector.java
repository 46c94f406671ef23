package io.lagoonseam.core.routing;

import java.util.List;
import java.util.Optional;

/** A routing policy. */
@FunctionalInterface
public interface WorkerSelector {

    /**
     * Chooses a worker.
     *
     * @param workers the workers that may take the request
     * @return one with room, or empty if none has any
     */
    Optional<WorkerState> select(List<WorkerState> workers);

    /**
     * Chooses a worker for a request whose prompt is known.
     *
     * @param request the request
     * @param workers the workers that may take the request
     * @return one with room, or empty if none has any
     */
    default Optional<WorkerState> select(RoutingRequest request, List<WorkerState> workers) {
        return select(workers);
    }
}
