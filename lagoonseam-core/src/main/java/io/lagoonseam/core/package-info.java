/** Decision logic of the router. It performs no I/O: clocks, randomness and effects are injected through interfaces. */
package io.lagoonseam.core;
