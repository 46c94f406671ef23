package io.lagoonseam.core.limits;

/**
 * The share of a workspace's limits that is leased to one node.
 *
 * @param workspace the name of the workspace
 * @param amounts the amounts that the node may use
 * @param validMillis its validity in ms, counted from the time at which the node requested it
 */
public record LimitShare(String workspace, LimitAmounts amounts, long validMillis) {}
