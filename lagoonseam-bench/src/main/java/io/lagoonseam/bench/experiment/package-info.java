/** Experiments: named runs that measure the system and fail when an invariant is violated. */
package io.lagoonseam.bench.experiment;
