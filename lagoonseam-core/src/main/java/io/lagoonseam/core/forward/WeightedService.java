package io.lagoonseam.core.forward;

/**
 * A service that gets a part of a route's requests.
 *
 * @param service its name
 * @param weight its part relative to the route's other services, above 0
 */
public record WeightedService(String service, double weight) {}
