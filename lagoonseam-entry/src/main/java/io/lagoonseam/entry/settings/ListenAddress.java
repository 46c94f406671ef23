package io.lagoonseam.entry.settings;

/**
 * A network address to listen on or to connect to.
 *
 * @param host an IP address
 * @param port a port; 0 to listen on any free one
 */
public record ListenAddress(String host, int port) {

    /** The highest TCP port. */
    public static final int MAX_PORT = 65_535;

    /**
     * Returns whether a connection to the address can be tried.
     *
     * @return true if there is a host, and a port from 1 to {@link #MAX_PORT}
     */
    public boolean isConnectable() {
        return !host.isEmpty() && port > 0 && port <= MAX_PORT;
    }
}
