package io.lagoonseam.bench.experiment.placement;

import io.lagoonseam.core.forward.LatencyLanes;
import io.lagoonseam.core.forward.LeastLoadedChooser;
import io.lagoonseam.core.forward.PrefixChooser;
import io.lagoonseam.core.forward.ServiceWorkers;
import io.lagoonseam.core.forward.UpstreamRecord;
import io.lagoonseam.core.ratelimit.PermitSource;
import java.util.List;

/** Creates the decision classes' view of the workers in the model. */
final class ModelWorkers {

    private ModelWorkers() {}

    static String id(int worker) {
        return "w" + worker;
    }

    static int index(String id) {
        return Integer.parseInt(id.substring(1));
    }

    static ServiceWorkers create(EngineSpec engine) {
        ServiceWorkers workers =
                new ServiceWorkers(new PrefixChooser(), new LeastLoadedChooser(1), PermitSource.UNLIMITED);
        workers.modelEngine(true);
        workers.kvCapacityTokens(engine.kvTokens());
        return workers;
    }

    static void update(ServiceWorkers workers, List<Integer> serving, int slots) {
        workers.workers().keySet().removeIf(id -> !serving.contains(index(id)));
        for (int worker : serving) {
            workers.workers()
                    .computeIfAbsent(
                            id(worker),
                            id -> workers.newState(new UpstreamRecord(
                                    id, 1, "llm", "v1", "10.0.0." + worker, 80, "a", slots, false, 1)));
        }
        LatencyLanes.assignWorkers(workers.workers().values());
    }
}
