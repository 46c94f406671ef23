package io.lagoonseam.core.resume;

/**
 * Where and when a stream began that no node knows, as far as its route tells.
 *
 * @param route identifies the route at all nodes
 * @param service the name of the only service that the route leads to, empty if there are several
 * @param windowMillis how long ago the stream began at most, in milliseconds
 */
public record ServiceWindow(String route, String service, long windowMillis) {}
