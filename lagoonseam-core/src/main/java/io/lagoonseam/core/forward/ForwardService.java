package io.lagoonseam.core.forward;

/**
 * A service that requests are forwarded to.
 *
 * @param name its name
 * @param maxConnections the most connections that one worker takes from all nodes together
 * @param modelEngine whether its workers are model engines
 */
public record ForwardService(String name, int maxConnections, boolean modelEngine) {}
