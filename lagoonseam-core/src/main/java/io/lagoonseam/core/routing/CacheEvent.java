package io.lagoonseam.core.routing;

/**
 * Event of a model engine's prefix cache: a block was stored or evicted.
 *
 * @param sequence the sequence number of the event; a gap in the sequence means that events were lost
 * @param block the id of the block
 * @param stored true if the block was stored, false if it was evicted
 */
public record CacheEvent(long sequence, int block, boolean stored) {}
