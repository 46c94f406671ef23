package io.lagoonseam.entry.settings;

/**
 * An address to listen on.
 *
 * @param host an IP number
 * @param port a port, or 0 for any free one
 */
public record ListenAddress(String host, int port) {}
