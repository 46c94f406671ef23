/** Simulation that compares routing strategies over many nodes on a virtual clock. */
package io.lagoonseam.bench.experiment.routing;
