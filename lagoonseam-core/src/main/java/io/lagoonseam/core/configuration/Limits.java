package io.lagoonseam.core.configuration;

/**
 * Limits of a workspace over all entry nodes.
 *
 * @param name the name of the limits
 * @param requestsPerSecond the rate of requests
 * @param tokensPerSecond the rate of generated tokens
 * @param concurrency the most requests at once
 */
public record Limits(String name, long requestsPerSecond, long tokensPerSecond, int concurrency) {}
