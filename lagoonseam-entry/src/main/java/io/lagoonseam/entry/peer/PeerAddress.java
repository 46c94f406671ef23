package io.lagoonseam.entry.peer;

/**
 * Where a node listens for peers.
 *
 * @param host an IP number
 * @param port its port
 */
public record PeerAddress(String host, int port) {}
