/** Experiments in which engines or connections fail under traffic. */
package io.lagoonseam.bench.experiment.fault;
