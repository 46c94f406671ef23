package io.lagoonseam.core.configuration;

/**
 * Limits of a workspace, summed over all entry nodes.
 *
 * @param name the name of the limits
 * @param requestsPerSecond the maximum number of requests per second
 * @param tokensPerSecond the maximum number of generated tokens per second
 * @param concurrency the maximum number of concurrent requests
 */
public record Limits(String name, long requestsPerSecond, long tokensPerSecond, int concurrency) {}
