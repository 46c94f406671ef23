/** Operators as peers: health, metrics and status, read-only. */
package io.lagoonseam.entry.operator;
