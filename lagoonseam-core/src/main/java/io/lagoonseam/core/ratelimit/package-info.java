/**
 * Limits on the rate of requests that workers name for all nodes together, and the permits that keep the sum over the
 * nodes below them. Without I/O.
 */
package io.lagoonseam.core.ratelimit;
