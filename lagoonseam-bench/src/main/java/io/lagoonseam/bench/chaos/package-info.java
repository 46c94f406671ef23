/** A chaos experiment, which runs the whole system under seeded random faults and checks every invariant. */
package io.lagoonseam.bench.chaos;
