/** Experiments that start, stop and replace nodes and upstreams. */
package io.lagoonseam.bench.membership;
