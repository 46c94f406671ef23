/** The decisions of the router, free of I/O: clock, randomness and effects come in through interfaces. */
package io.lagoonseam.core;
