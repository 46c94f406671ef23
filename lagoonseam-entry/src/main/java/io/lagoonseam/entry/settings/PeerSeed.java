package io.lagoonseam.entry.settings;

/**
 * A node that is asked for the members when the platform does not respond.
 *
 * @param nodeId its id
 * @param host its IP address
 * @param port its port for peers
 */
public record PeerSeed(String nodeId, String host, int port) {}
