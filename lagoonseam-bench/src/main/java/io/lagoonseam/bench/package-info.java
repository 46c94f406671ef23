/** Benchmarks: load generation, experiments on simulated and local fleets, and their reports. */
package io.lagoonseam.bench;
