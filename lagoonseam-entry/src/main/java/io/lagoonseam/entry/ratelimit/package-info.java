/** Exchanges permits for workers that limit the rate of their requests with the nodes that issue them. */
package io.lagoonseam.entry.ratelimit;
