/** Holders of a placement lease that are paused, cut off or late. */
package io.lagoonseam.bench.experiment.lease;
