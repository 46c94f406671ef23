package io.lagoonseam.entry.settings;

/**
 * A node to ask for the members when the platform does not answer.
 *
 * @param nodeId its name
 * @param host its IP number
 * @param port its port for peers
 */
public record PeerSeed(String nodeId, String host, int port) {}
