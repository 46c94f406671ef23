package io.lagoonseam.core.configuration;

/**
 * Latency objectives and queue limits of request classes.
 *
 * @param name the name of the service level
 * @param firstTokenMillis the objective for the time to the first token, or to the complete answer of a plain service,
 *     in milliseconds
 * @param betweenTokensMillis the objective for the mean time between tokens, in milliseconds
 * @param deadlineMillis the time within which a request without its own deadline must be started, in milliseconds
 * @param longestWaitMillis the maximum time in the queue as long as the service responds at all, in milliseconds
 * @param weight the weight by which capacity is shared among the classes below the urgent tier
 * @param queueCapacity the maximum number of requests queued at one node
 */
public record ServiceLevel(
        String name,
        long firstTokenMillis,
        long betweenTokensMillis,
        long deadlineMillis,
        long longestWaitMillis,
        int weight,
        int queueCapacity) {}
