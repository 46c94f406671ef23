package io.lagoonseam.core.configuration;

/**
 * The targets of a request class.
 *
 * @param name its name
 * @param firstTokenMillis the target for the first token, or for the whole answer of a plain service
 * @param betweenTokensMillis the target for the mean time between tokens
 * @param deadlineMillis the time within which a request without its own deadline must begin
 * @param longestWaitMillis the longest time in the queue while the service answers at all
 * @param weight the share of capacity relative to other classes below the urgent tier
 * @param queueCapacity the most requests that wait at one node
 */
public record ServiceLevel(
        String name,
        long firstTokenMillis,
        long betweenTokensMillis,
        long deadlineMillis,
        long longestWaitMillis,
        int weight,
        int queueCapacity) {}
