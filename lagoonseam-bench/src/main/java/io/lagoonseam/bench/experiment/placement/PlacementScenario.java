package io.lagoonseam.bench.experiment.placement;

import java.util.List;

/**
 * The load and the faults of one run of the model.
 *
 * @param name its name
 * @param nodes the number of nodes
 * @param workers the number of workers
 * @param engine the kind of engine of each worker
 * @param mix the requests of callers
 * @param burst the factor of the digests' rate from 0.5 to 9 s
 * @param lostWorkers the share of workers that are lost from 2.6 to 6 s
 * @param homeDiesMillis when the home dies, in milliseconds; 0 for never
 */
record PlacementScenario(
        String name,
        int nodes,
        int workers,
        EngineSpec engine,
        List<RequestKind> mix,
        double burst,
        double lostWorkers,
        long homeDiesMillis) {

    /** Many fast engines with few slots before long prompts. */
    static PlacementScenario longPrompts(
            String name, int nodes, int workers, double burst, double lostWorkers, long homeDiesMillis) {
        return new PlacementScenario(
                name, nodes, workers, EngineSpec.FEW_SLOTS, RequestKind.MIX, burst, lostWorkers, homeDiesMillis);
    }

    /** Engines with many slots before callers with short deadlines. */
    static PlacementScenario shortDeadlines(String name, double burst, double lostWorkers) {
        return new PlacementScenario(
                name, 67, 63, EngineSpec.MANY_SLOTS, RequestKind.SHORT_DEADLINES, burst, lostWorkers, 0);
    }
}
