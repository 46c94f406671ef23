package io.lagoonseam.core.placement;

/**
 * Identifies one attempt to place a request.
 *
 * @param node the id of the node that forwards the request
 * @param number a number that the node has given to no other attempt
 */
public record PlacementKey(String node, long number) {}
