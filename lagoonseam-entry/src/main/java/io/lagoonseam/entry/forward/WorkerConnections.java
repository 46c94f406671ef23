package io.lagoonseam.entry.forward;

import io.lagoonseam.core.time.TimeSource;
import io.vertx.core.Future;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpConnectOptions;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Pools the connections of this node to one worker. Idle connections are reused, the newest first, only as long as the
 * worker can be expected to keep them open: for a share of its keep-alive timeout, or for a default time if it states
 * none. All attempts of a request have the same id, by which a late second answer is told from the awaited one, so each
 * attempt gets a connection that has not carried the request before.
 */
final class WorkerConnections {

    /** Connect timeout, in milliseconds: many times a network round trip between data centres. */
    private static final long CONNECT_TIMEOUT_MILLIS = 400;

    /** How long an idle connection may be reused if the worker states no keep-alive timeout, in milliseconds. */
    private static final long DEFAULT_REUSE_MILLIS = 400;

    /** Share of the keep-alive timeout of the worker for which an idle connection may be reused. */
    private static final double REUSE_SHARE = 0.7;

    /** The number of requests that a connection remembers; attempts of one request follow each other closely. */
    private static final int MAX_REMEMBERED_REQUESTS = 64;

    private final HttpClientAgent client;
    private final HttpConnectOptions target;
    private final TimeSource time;
    private final BooleanSupplier idleTrusted;
    private final Deque<Connection> idle = new ArrayDeque<>();
    /** An idle connection is reused only if its last response came after this time. */
    private long minLastResponseMillis = Long.MIN_VALUE;

    /**
     * Creates an empty pool.
     *
     * @param client opens connections
     * @param host the IP address of the worker
     * @param port the port of the worker
     * @param time the clocks
     * @param idleTrusted returns whether idle connections may be reused; otherwise one may be lost in silence
     */
    WorkerConnections(HttpClientAgent client, String host, int port, TimeSource time, BooleanSupplier idleTrusted) {
        this.client = client;
        this.target = new HttpConnectOptions()
                .setHost(host)
                .setPort(port)
                .setSsl(false)
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        this.time = time;
        this.idleTrusted = idleTrusted;
    }

    /** One open connection, which carries one request at a time. */
    final class Connection {

        private final HttpClientConnection http;
        /** The ids of the latest requests, the newest last. */
        private final Deque<String> requestIds = new ArrayDeque<>();

        private long reusableUntilMillis;
        private long lastResponseMillis;
        private boolean closed;

        Connection(HttpClientConnection http) {
            this.http = http;
            this.lastResponseMillis = time.monotonicMillis();
            http.closeHandler(nothing -> onClosed());
        }

        HttpClient http() {
            return http;
        }

        private boolean hasCarried(String requestId) {
            return requestIds.contains(requestId);
        }

        private Connection carry(String requestId) {
            if (requestIds.size() == MAX_REMEMBERED_REQUESTS) {
                requestIds.removeFirst();
            }
            requestIds.addLast(requestId);
            return this;
        }

        /** Returns whether the beginning of a response has been received that no request awaits. */
        boolean hasUndecodedBytes() {
            return WorkerChannel.hasUndecodedBytes(WorkerChannel.context(http).pipeline());
        }

        /**
         * Returns the connection to the pool, or closes it if the worker does not keep it open, if the end of the
         * response was not determined by its framing, or if more bytes have come than the response has.
         */
        void release(UpstreamResponseHeaders answer) {
            lastResponseMillis = time.monotonicMillis();
            if (closed || answer.closesConnection() || !answer.selfDelimited() || hasUndecodedBytes()) {
                close();
                return;
            }
            long reuseMillis = answer.keepAliveMillis() < 0
                    ? DEFAULT_REUSE_MILLIS
                    : Math.round(REUSE_SHARE * answer.keepAliveMillis());
            reusableUntilMillis = lastResponseMillis + reuseMillis;
            idle.push(this);
        }

        /** Closes the connection, which makes the worker stop processing the request. */
        void close() {
            if (!closed) {
                onClosed();
                http.close();
            }
        }

        private void onClosed() {
            if (!closed) {
                closed = true;
                idle.remove(this);
            }
        }
    }

    /**
     * Takes an idle connection from the pool that has not carried the request, or opens a new one.
     *
     * @param requestId the id of the request
     * @return the connection; fails if none can be opened
     */
    Future<Connection> acquire(String requestId) {
        return takeIdle(requestId)
                .map(Future::succeededFuture)
                .orElseGet(() ->
                        Future.succeededFuture(target).compose(client::connect).map(Connection::new))
                .map(connection -> connection.carry(requestId));
    }

    private Optional<Connection> takeIdle(String requestId) {
        List<Connection> unusable = new ArrayList<>();
        Optional<Connection> found = Optional.empty();
        Iterator<Connection> newestFirst = idle.iterator();
        while (found.isEmpty() && newestFirst.hasNext()) {
            Connection connection = newestFirst.next();
            if (!isReusable(connection)) {
                unusable.add(connection);
            } else if (!connection.hasCarried(requestId)) {
                newestFirst.remove();
                found = Optional.of(connection);
            }
        }
        unusable.forEach(Connection::close);
        return found;
    }

    private boolean isReusable(Connection connection) {
        return idleTrusted.getAsBoolean()
                && !connection.closed
                && time.monotonicMillis() < connection.reusableUntilMillis
                && connection.lastResponseMillis > minLastResponseMillis
                && !connection.hasUndecodedBytes();
    }

    /**
     * Closes the idle connections that have received no response since a point in time, after another connection to the
     * worker has become unresponsive.
     *
     * @param sinceMillis the point in time, on the monotonic clock, in milliseconds
     */
    void closeWithoutResponseSince(long sinceMillis) {
        minLastResponseMillis = Math.max(minLastResponseMillis, sinceMillis);
        closeExpiredConnections();
    }

    /** Closes the idle connections that may not be reused. */
    void closeExpiredConnections() {
        long nowMillis = time.monotonicMillis();
        List<Connection> expired = new ArrayList<>();
        for (Connection connection : idle) {
            if (nowMillis >= connection.reusableUntilMillis || connection.lastResponseMillis <= minLastResponseMillis) {
                expired.add(connection);
            }
        }
        expired.forEach(Connection::close);
    }

    /** Closes all idle connections; called when the worker is no longer serving. */
    void closeIdle() {
        new ArrayList<>(idle).forEach(Connection::close);
    }
}
