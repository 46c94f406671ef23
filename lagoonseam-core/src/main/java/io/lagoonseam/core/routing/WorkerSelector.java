package io.lagoonseam.core.routing;

import java.util.List;
import java.util.Optional;

/** Strategy that selects the worker for a request. */
@FunctionalInterface
public interface WorkerSelector {

    /**
     * Selects a worker without regard to the request.
     *
     * @param workers the candidate workers
     * @return a worker with a free slot, or empty if there is none
     */
    Optional<WorkerState> select(List<WorkerState> workers);

    /**
     * Selects a worker for a request. By default the request is ignored.
     *
     * @param request the request
     * @param workers the candidate workers
     * @return a worker with a free slot, or empty if there is none
     */
    default Optional<WorkerState> select(RoutingRequest request, List<WorkerState> workers) {
        return select(workers);
    }
}
