package io.lagoonseam.entry.upstream;

/**
 * Idle timeouts of a stream.
 *
 * @param firstTokenMillis the longest time without a received byte before the first token, in milliseconds
 * @param betweenTokensMillis the longest time without a received byte after the first token, in milliseconds
 */
public record StreamTimeouts(long firstTokenMillis, long betweenTokensMillis) {}
