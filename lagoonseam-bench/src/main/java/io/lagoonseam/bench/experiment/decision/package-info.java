/** Measurement of the time of one admission and one routing decision. */
package io.lagoonseam.bench.experiment.decision;
