package io.lagoonseam.entry.upstream;

import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.SocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/**
 * Tracks the open connections and stream attempts of each upstream. The cause of an unresponsive connection often
 * affects other connections to the same upstream: when one is found unresponsive, idle connections to the upstream are
 * closed, and those in use must receive a byte within a window or fail. Thread-safe.
 */
final class UpstreamConnections {

    private final Map<Key, Set<HttpConnection>> open = new ConcurrentHashMap<>();
    private final Map<Key, Set<StreamAttempt>> attempts = new ConcurrentHashMap<>();

    /**
     * Address of an upstream.
     *
     * @param host the IP address
     * @param port the TCP port
     */
    record Key(String host, int port) {}

    void opened(HttpConnection connection) {
        SocketAddress address = connection.remoteAddress();
        Key key = new Key(address.hostAddress(), address.port());
        open.computeIfAbsent(key, ignored -> ConcurrentHashMap.newKeySet()).add(connection);
        connection.closeHandler(closed -> open.computeIfPresent(key, (sameKey, connections) -> {
            connections.remove(connection);
            return connections.isEmpty() ? null : connections;
        }));
    }

    void attach(Key key, StreamAttempt attempt) {
        attempts.compute(key, (sameKey, present) -> {
            Set<StreamAttempt> grown = present == null ? ConcurrentHashMap.newKeySet() : present;
            grown.add(attempt);
            return grown;
        });
    }

    void detach(Key key, StreamAttempt attempt) {
        attempts.computeIfPresent(key, (sameKey, present) -> {
            present.remove(attempt);
            return present.isEmpty() ? null : present;
        });
    }

    /** Closes idle connections to the upstream and requires activity on its other streams within the window. */
    void handleUnresponsive(Key key, StreamAttempt unresponsive, long windowMillis) {
        Set<StreamAttempt> sameUpstream = attempts.getOrDefault(key, Set.of());
        Set<HttpConnection> inUse =
                sameUpstream.stream().map(StreamAttempt::connection).collect(Collectors.toSet());
        for (HttpConnection connection : open.getOrDefault(key, Set.of())) {
            if (!inUse.contains(connection)) {
                connection.close();
            }
        }
        for (StreamAttempt attempt : sameUpstream) {
            if (!attempt.equals(unresponsive)) {
                attempt.requireActivity(windowMillis);
            }
        }
    }
}
