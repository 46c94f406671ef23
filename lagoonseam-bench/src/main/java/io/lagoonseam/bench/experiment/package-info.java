/** Experiments: named runs that measure the system and fail when an invariant does. */
package io.lagoonseam.bench.experiment;
