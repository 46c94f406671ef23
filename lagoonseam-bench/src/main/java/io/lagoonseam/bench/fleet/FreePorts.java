package io.lagoonseam.bench.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds ports for servers that stop and come back. They lie below the range from which the system gives ports to
 * outgoing connections: one of those may otherwise take the port while the server is away.
 */
public final class FreePorts {

    private static final int LOWEST = 20_000;

    /** One above the highest: the usual first port of outgoing connections is 32,768. */
    private static final int END = 32_000;

    private static final int TRIES = 100;

    private FreePorts() {}

    /**
     * Finds a port that is free now.
     *
     * @return the port
     * @throws IllegalStateException if none of many was free
     */
    public static int find() {
        for (int attempt = 0; attempt < TRIES; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST, END);
            if (isFree(port)) {
                return port;
            }
        }
        throw new IllegalStateException("no free port in " + TRIES + " tries");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            return true;
        } catch (IOException e) {
            // somebody listens there
            return false;
        }
    }
}
