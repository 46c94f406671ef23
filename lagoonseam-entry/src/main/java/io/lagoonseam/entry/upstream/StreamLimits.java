package io.lagoonseam.entry.upstream;

/**
 * When a stream counts as silent.
 *
 * @param firstTokenMillis the longest time without a byte before the first token
 * @param betweenTokensMillis the longest time without a byte after it
 */
public record StreamLimits(long firstTokenMillis, long betweenTokensMillis) {}
