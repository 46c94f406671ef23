/** One random run over the whole system under seeded faults, with every invariant asserted. */
package io.lagoonseam.bench.chaos;
