package io.lagoonseam.entry.upstream;

/**
 * Idle timeouts of a stream.
 *
 * @param firstTokenIdleMillis the longest time without a received byte before the first token, in milliseconds
 * @param betweenTokensIdleMillis the longest time without a received byte after the first token, in milliseconds
 */
public record StreamTimeouts(long firstTokenIdleMillis, long betweenTokensIdleMillis) {}
