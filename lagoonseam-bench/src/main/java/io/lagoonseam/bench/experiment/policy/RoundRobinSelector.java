package io.lagoonseam.bench.experiment.policy;

import io.lagoonseam.core.routing.WorkerSelector;
import io.lagoonseam.core.routing.WorkerState;
import java.util.List;
import java.util.Optional;

/** Selects the workers below their concurrency limit in round-robin order. */
final class RoundRobinSelector implements WorkerSelector {

    private int next;

    @Override
    public Optional<WorkerState> select(List<WorkerState> workers) {
        for (int tried = 0; tried < workers.size(); tried++) {
            WorkerState worker = workers.get(Math.floorMod(next++, workers.size()));
            if (worker.hasRoom()) {
                return Optional.of(worker);
            }
        }
        return Optional.empty();
    }
}
