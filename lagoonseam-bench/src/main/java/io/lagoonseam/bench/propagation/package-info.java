/** Experiments that measure the latency and the cost of propagating a change of configuration to all nodes. */
package io.lagoonseam.bench.propagation;
