/**
 * Experiments that run the operation journal in simulated time against simulated nodes, peers and a simulated store.
 */
package io.lagoonseam.bench.operation;
