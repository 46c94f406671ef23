package io.lagoonseam.core.routing;

/**
 * What an engine published about its prefix cache.
 *
 * @param sequence its number; a missing one is a lost event
 * @param block the id of the block
 * @param stored whether the block was stored rather than evicted
 */
public record CacheEvent(long sequence, int block, boolean stored) {}
