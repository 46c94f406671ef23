package io.lagoonseam.bench.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds free ports for servers that are stopped and restarted on the same port. The ports lie below the ephemeral port
 * range, since an outgoing connection could otherwise occupy the port while the server is stopped.
 */
public final class FreePorts {

    private static final int FIRST_PORT = 20_000;

    /** Exclusive upper bound; the ephemeral port range usually starts at 32,768. */
    private static final int END_PORT = 32_000;

    private static final int MAX_ATTEMPTS = 100;

    /** The ports that this process has been given. A server that is stopped for a while keeps its port here. */
    private static final Set<Integer> GIVEN = ConcurrentHashMap.newKeySet();

    private FreePorts() {}

    /**
     * Finds a port that is free on the loopback address at the moment, and that this process has not been given before.
     * Other processes may take it.
     *
     * @return a port from 20,000 to 31,999
     * @throws IllegalStateException if none of 100 randomly chosen ports was free
     */
    public static int find() {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, END_PORT);
            if (!GIVEN.contains(port) && isFree(port) && GIVEN.add(port)) {
                return port;
            }
        }
        throw new IllegalStateException("none of " + MAX_ATTEMPTS + " randomly chosen loopback ports was free");
    }

    /**
     * Finds two ports in a row as {@link #find()} does.
     *
     * @return the first of the ports
     */
    public static int findTwo() {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            int first = find();
            if (isFree(first + 1) && GIVEN.add(first + 1)) {
                return first;
            }
        }
        throw new IllegalStateException("no two loopback ports in a row were free");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            return true;
        } catch (IOException e) {
            // the port is in use
            return false;
        }
    }
}
