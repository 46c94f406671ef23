/** Compares ways of routing over many nodes on a virtual clock. */
package io.lagoonseam.bench.experiment.routing;
