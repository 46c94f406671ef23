/** A complete system of entry nodes and stand-ins in one process on the loopback address. */
package io.lagoonseam.bench.fleet;
