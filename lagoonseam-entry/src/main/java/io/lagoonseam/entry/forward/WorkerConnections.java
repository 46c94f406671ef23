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
import java.util.List;

/**
 * Pools the connections of this node to one worker. Idle connections are reused, the newest first, for as long as the
 * worker is certain to keep them open.
 */
final class WorkerConnections {

    /** Connect timeout, in milliseconds: many times a network round trip between data centres. */
    private static final long CONNECT_TIMEOUT_MILLIS = 400;

    /** How long an idle connection may be reused if the worker states no keep-alive timeout, in milliseconds. */
    private static final long DEFAULT_REUSE_MILLIS = 400;

    /** Share of the keep-alive timeout of the worker for which an idle connection may be reused. */
    private static final double REUSE_SHARE = 0.7;

    private final HttpClientAgent client;
    private final HttpConnectOptions target;
    private final TimeSource time;
    private final Deque<Connection> idle = new ArrayDeque<>();
    private long suspectBeforeMillis = Long.MIN_VALUE;

    WorkerConnections(HttpClientAgent client, String host, int port, TimeSource time) {
        this.client = client;
        this.target = new HttpConnectOptions()
                .setHost(host)
                .setPort(port)
                .setSsl(false)
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        this.time = time;
    }

    /** One open connection, which carries one request at a time. */
    final class Connection {

        private final HttpClientConnection http;
        private long idleUntilMillis;
        private long lastAnswerMillis;
        private boolean closed;

        Connection(HttpClientConnection http) {
            this.http = http;
            this.lastAnswerMillis = time.monotonicMillis();
            http.closeHandler(nothing -> onClosed());
        }

        HttpClient http() {
            return http;
        }

        /**
         * Returns the connection to the pool, or closes it if the worker does not keep it open or the end of the
         * response was not determined by its framing.
         */
        void release(AnswerHead answer) {
            lastAnswerMillis = time.monotonicMillis();
            if (closed || answer.closing() || !answer.sized()) {
                close();
                return;
            }
            long reuseMillis = answer.keepAliveMillis() < 0
                    ? DEFAULT_REUSE_MILLIS
                    : Math.round(REUSE_SHARE * answer.keepAliveMillis());
            idleUntilMillis = lastAnswerMillis + reuseMillis;
            idle.push(this);
        }

        /** Closes the connection, from which the worker sees that it should stop processing the request. */
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
     * Takes an idle connection from the pool or opens a new one.
     *
     * @return the connection; fails if none can be opened
     */
    Future<Connection> acquire() {
        long nowMillis = time.monotonicMillis();
        while (!idle.isEmpty()) {
            Connection connection = idle.pop();
            if (!connection.closed
                    && nowMillis < connection.idleUntilMillis
                    && connection.lastAnswerMillis > suspectBeforeMillis) {
                return Future.succeededFuture(connection);
            }
            connection.close();
        }
        return client.connect(target).map(Connection::new);
    }

    /**
     * Bars from reuse the connections without a response since a point in time, after another connection to the worker
     * has become unresponsive.
     *
     * @param sinceMillis the point in time, on the monotonic clock, in milliseconds
     */
    void suspectUnusedSince(long sinceMillis) {
        suspectBeforeMillis = Math.max(suspectBeforeMillis, sinceMillis);
        closeExpiredConnections();
    }

    /** Closes the idle connections that may not be reused. */
    void closeExpiredConnections() {
        long nowMillis = time.monotonicMillis();
        List<Connection> expired = new ArrayList<>();
        for (Connection connection : idle) {
            if (nowMillis >= connection.idleUntilMillis || connection.lastAnswerMillis <= suspectBeforeMillis) {
                expired.add(connection);
            }
        }
        expired.forEach(Connection::close);
    }

    /** Closes all idle connections; called when the worker gets no new work. */
    void closeIdle() {
        new ArrayList<>(idle).forEach(Connection::close);
    }
}
