/** Experiments about nodes and upstreams that come and go. */
package io.lagoonseam.bench.membership;
