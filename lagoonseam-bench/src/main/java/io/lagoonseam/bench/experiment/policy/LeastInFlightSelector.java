package io.lagoonseam.bench.experiment.policy;

import io.lagoonseam.core.routing.WorkerSelector;
import io.lagoonseam.core.routing.WorkerState;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Selects the worker below its concurrency limit with the fewest in-flight requests of this node. */
final class LeastInFlightSelector implements WorkerSelector {

    @Override
    public Optional<WorkerState> select(List<WorkerState> workers) {
        return workers.stream().filter(WorkerState::hasRoom).min(Comparator.comparingInt(WorkerState::inFlight));
    }
}
