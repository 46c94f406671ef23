package io.lagoonseam.entry.upstream;

import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.SocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/**
 * The open connections that streams use. Whatever made one of them silent has often done so to others: idle ones to the
 * same upstream are closed, and those in use must show life within a window.
 */
final class UpstreamConnections {

    private final Map<Key, Set<HttpConnection>> open = new ConcurrentHashMap<>();
    private final Map<Key, Set<StreamAttempt>> attempts = new ConcurrentHashMap<>();

    /**
     * An upstream as connections know it.
     *
     * @param host its IP number
     * @param port its port
     */
    record Key(String host, int port) {}

    void opened(HttpConnection connection) {
        SocketAddress address = connection.remoteAddress();
        Key key = new Key(address.hostAddress(), address.port());
        open.computeIfAbsent(key, unknown -> ConcurrentHashMap.newKeySet()).add(connection);
        connection.closeHandler(closed -> open.computeIfPresent(key, (sameKey, mates) -> {
            mates.remove(connection);
            return mates.isEmpty() ? null : mates;
        }));
    }

    void attach(Key key, StreamAttempt attempt) {
        attempts.compute(key, (sameKey, mates) -> {
            Set<StreamAttempt> grown = mates == null ? ConcurrentHashMap.newKeySet() : mates;
            grown.add(attempt);
            return grown;
        });
    }

    void detach(Key key, StreamAttempt attempt) {
        attempts.computeIfPresent(key, (sameKey, mates) -> {
            mates.remove(attempt);
            return mates.isEmpty() ? null : mates;
        });
    }

    void testMates(Key key, StreamAttempt silent, long windowMillis) {
        Set<StreamAttempt> mates = attempts.getOrDefault(key, Set.of());
        Set<HttpConnection> inUse =
                mates.stream().map(StreamAttempt::connection).collect(Collectors.toSet());
        for (HttpConnection connection : open.getOrDefault(key, Set.of())) {
            if (!inUse.contains(connection)) {
                connection.close();
            }
        }
        for (StreamAttempt mate : mates) {
            if (!mate.equals(silent)) {
                mate.testLife(windowMillis);
            }
        }
    }
}
