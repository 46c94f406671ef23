package io.lagoonseam.core.limits;

/**
 * The demand of a workspace's callers at one node.
 *
 * @param workspace the name of the workspace
 * @param amounts the demanded amounts, including refused requests; zero releases the node's share
 */
public record LimitDemand(String workspace, LimitAmounts amounts) {}
