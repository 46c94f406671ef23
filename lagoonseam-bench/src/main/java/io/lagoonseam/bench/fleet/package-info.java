/** A whole system in one process on loopback: stand-ins and entry nodes. */
package io.lagoonseam.bench.fleet;
