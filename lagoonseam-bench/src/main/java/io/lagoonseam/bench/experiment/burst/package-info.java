/** Experiment in which a burst of one request class exceeds the capacity of the fleet. */
package io.lagoonseam.bench.experiment.burst;
