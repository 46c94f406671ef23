/** Experiments in which engines or connections fail while traffic runs. */
package io.lagoonseam.bench.experiment.fault;
