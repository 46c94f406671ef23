/** What one admission and one routing decision cost. */
package io.lagoonseam.bench.experiment.decision;
