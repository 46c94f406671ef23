/**
 * Compares, on a virtual clock, where requests of many nodes are placed: at each node, or at the home of their service.
 */
package io.lagoonseam.bench.experiment.placement;
