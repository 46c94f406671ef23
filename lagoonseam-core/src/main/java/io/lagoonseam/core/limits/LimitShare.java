package io.lagoonseam.core.limits;

/**
 * The part of a workspace's limits that one node may use for a while.
 *
 * @param workspace the workspace
 * @param amounts the part
 * @param validMillis how long it may be used after it was asked for
 */
public record LimitShare(String workspace, LimitAmounts amounts, long validMillis) {}
