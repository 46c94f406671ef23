/** Graceful shutdown of a node. */
package io.lagoonseam.entry.stop;
