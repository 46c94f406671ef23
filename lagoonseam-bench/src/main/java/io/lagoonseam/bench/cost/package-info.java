/** Measurements of the cost of the router itself, compared with direct requests to the upstream or a bare forwarder. */
package io.lagoonseam.bench.cost;
