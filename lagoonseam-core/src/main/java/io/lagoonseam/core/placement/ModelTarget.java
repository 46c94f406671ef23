package io.lagoonseam.core.placement;

/**
 * How many engines a model is to have.
 *
 * @param name the model's name
 * @param version the wanted version
 * @param leastWorkers the least number of engines
 * @param mostWorkers the most engines
 * @param urgent whether urgent classes use it
 */
public record ModelTarget(String name, String version, int leastWorkers, int mostWorkers, boolean urgent) {}
