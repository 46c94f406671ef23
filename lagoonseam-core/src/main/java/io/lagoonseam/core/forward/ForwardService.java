package io.lagoonseam.core.forward;

/**
 * A service that requests are forwarded to.
 *
 * @param name its name
 * @param maxConnections the maximum number of connections to one worker, over all nodes
 * @param modelEngine whether its workers are model engines
 * @param kvCapacityTokens the capacity of a worker's KV cache, which holds running requests and cached prefix segments,
 *     in tokens; 0 if unknown
 */
public record ForwardService(String name, int maxConnections, boolean modelEngine, long kvCapacityTokens) {}
