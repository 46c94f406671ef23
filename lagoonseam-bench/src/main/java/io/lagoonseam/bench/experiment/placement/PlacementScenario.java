package io.lagoonseam.bench.experiment.placement;

/**
 * The load and the faults of one run of the model.
 *
 * @param name its name
 * @param nodes the number of nodes
 * @param workers the number of workers
 * @param burst the factor of the digests' rate from 0.5 to 9 s
 * @param lostWorkers the share of workers that are lost from 2.6 to 6 s
 * @param homeDiesMillis when the home dies, in milliseconds; 0 for never
 */
record PlacementScenario(String name, int nodes, int workers, double burst, double lostWorkers, long homeDiesMillis) {}
