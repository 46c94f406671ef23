package io.lagoonseam.entry.peer;

/**
 * The address at which a node accepts connections of peers.
 *
 * @param host the IP address
 * @param port the TCP port
 */
public record PeerAddress(String host, int port) {}
