package io.lagoonseam.core.limits;

/**
 * What a workspace's callers asked of one node.
 *
 * @param workspace the workspace
 * @param amounts what they asked for, refused requests among them
 */
public record LimitDemand(String workspace, LimitAmounts amounts) {}
