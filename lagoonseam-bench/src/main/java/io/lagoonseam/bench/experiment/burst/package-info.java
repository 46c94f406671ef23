/** A burst of one class beyond the capacity of the fleet. */
package io.lagoonseam.bench.experiment.burst;
