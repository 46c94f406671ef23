package io.lagoonseam.entry.settings;

/**
 * A network address to listen on or to connect to.
 *
 * @param host an IP address
 * @param port a port; 0 to listen on any free one
 */
public record ListenAddress(String host, int port) {}
