package io.lagoonseam.core.forward;

/**
 * A service that gets a share of a route's requests.
 *
 * @param service its name
 * @param weight its share relative to the route's other services; greater than 0
 */
public record WeightedService(String service, double weight) {}
