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
 * The connections of this node to one worker. An idle connection is used again, the newest first, as long as the worker
 * surely keeps it open.
 */
final class WorkerConnections {

    /**
     * The longest time to make a connection, in milliseconds: above a round trip between data centres many times over.
     */
    private static final long CONNECT_MILLIS = 400;

    /** How long an idle connection is used again if the worker does not say how long it keeps it, in milliseconds. */
    private static final long UNSTATED_KEEP_MILLIS = 400;

    /** The part of the stated time for which an idle connection is used again. */
    private static final double KEEP_SHARE = 0.7;

    private final HttpClientAgent client;
    private final HttpConnectOptions target;
    private final TimeSource time;
    private final Deque<Connection> idle = new ArrayDeque<>();
    private long doubtedBeforeMillis = Long.MIN_VALUE;

    WorkerConnections(HttpClientAgent client, String host, int port, TimeSource time) {
        this.client = client;
        this.target = new HttpConnectOptions()
                .setHost(host)
                .setPort(port)
                .setSsl(false)
                .setConnectTimeout(CONNECT_MILLIS);
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

        /** Makes the connection available again, if the worker keeps it. */
        void release(AnswerHead answer) {
            lastAnswerMillis = time.monotonicMillis();
            if (closed || answer.closing() || !answer.sized()) {
                close();
                return;
            }
            long keepMillis = answer.keepAliveMillis() < 0
                    ? UNSTATED_KEEP_MILLIS
                    : Math.round(KEEP_SHARE * answer.keepAliveMillis());
            idleUntilMillis = lastAnswerMillis + keepMillis;
            idle.push(this);
        }

        /** Closes the connection, which tells the worker to stop what it does for it. */
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

    /** Takes an idle connection or makes one. */
    Future<Connection> acquire() {
        long nowMillis = time.monotonicMillis();
        while (!idle.isEmpty()) {
            Connection connection = idle.pop();
            if (!connection.closed
                    && nowMillis < connection.idleUntilMillis
                    && connection.lastAnswerMillis > doubtedBeforeMillis) {
                return Future.succeededFuture(connection);
            }
            connection.close();
        }
        return client.connect(target).map(Connection::new);
    }

    /** Uses no connection again that was not heard of since a time, after another one of them went silent. */
    void doubt(long sinceMillis) {
        doubtedBeforeMillis = Math.max(doubtedBeforeMillis, sinceMillis);
        sweep();
    }

    /** Closes the idle connections that will not be used again. */
    void sweep() {
        long nowMillis = time.monotonicMillis();
        List<Connection> over = new ArrayList<>();
        for (Connection connection : idle) {
            if (nowMillis >= connection.idleUntilMillis || connection.lastAnswerMillis <= doubtedBeforeMillis) {
                over.add(connection);
            }
        }
        over.forEach(Connection::close);
    }

    /** Closes all idle connections, since the worker gets no new work. */
    void closeIdle() {
        new ArrayList<>(idle).forEach(Connection::close);
    }
}
