package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.AttemptResult;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.List;

/** Sends a request once to one worker, and reports to its listener until the attempt has ended or is cancelled. */
final class UpstreamAttempt {

    private static final String CONTENT_LENGTH = "Content-Length";

    private final ForwardProtocol protocol;
    private final WorkerConnections connections;
    private final Message message;
    private final Listener listener;
    private WorkerConnections.Connection connection;
    private MismatchedResponseFilter filter;
    private OrderlyEnd orderlyEnd;
    private HttpClientResponse response;
    private UpstreamResponseHeaders answer;
    private boolean sending;
    private boolean written;
    private boolean ended;

    /**
     * The request that is sent.
     *
     * @param method the HTTP method
     * @param uri the path and query as the caller sent them
     * @param headers the headers
     * @param body the body
     * @param requestId the id that the worker has to echo
     */
    record Message(HttpMethod method, String uri, MultiMap headers, RequestBody body, String requestId) {}

    /**
     * Receives the progress of an attempt: headers, body bytes and the end, or a failure at any time before the end.
     */
    interface Listener {

        /** No connection is open that can be used, so that one is being opened. */
        void onConnecting();

        /** A connection has been opened for the request. */
        void onConnected();

        /** Returns whether the request may still be sent, now that there is a connection. */
        boolean maySend();

        /** The request may no longer be sent; the attempt has ended before a byte of it was sent. */
        void onNotSent();

        /** The request is about to be sent: from here on the worker may run it. */
        void onSending();

        /** The header section of a response to the request has been received. */
        void onHeaders(UpstreamResponseHeaders answer, MultiMap headers);

        /** Bytes of the body have been received. */
        void onBody(Buffer bytes);

        /** The response is complete. */
        void onEnd();

        /** The attempt has failed. */
        void onFailure(AttemptResult result);
    }

    UpstreamAttempt(ForwardProtocol protocol, WorkerConnections connections, Message message, Listener listener) {
        this.protocol = protocol;
        this.connections = connections;
        this.message = message;
        this.listener = listener;
    }

    void start() {
        Future<WorkerConnections.Connection> acquiring = connections.acquire(message.requestId());
        boolean opened = !acquiring.isComplete();
        if (opened) {
            listener.onConnecting();
        }
        acquiring.onComplete(acquired -> {
            if (ended) {
                if (acquired.succeeded()) {
                    acquired.result().close();
                }
                return;
            }
            if (acquired.failed()) {
                fail(new AttemptResult.NotRun(
                        "no connection: " + acquired.cause().getMessage(), false));
                return;
            }
            connection = acquired.result();
            if (opened) {
                listener.onConnected();
            }
            connection
                    .http()
                    .request(new RequestOptions().setMethod(message.method()).setURI(message.uri()))
                    .onSuccess(this::send)
                    .onFailure(cause ->
                            fail(new AttemptResult.NotRun("the connection closed: " + cause.getMessage(), false)));
        });
    }

    private void send(HttpClientRequest request) {
        if (ended) {
            return;
        }
        if (!listener.maySend()) {
            close();
            listener.onNotSent();
            return;
        }
        if (connection.hasUndecodedBytes()) {
            fail(new AttemptResult.NotRun("the connection has bytes of an earlier answer", false));
            return;
        }
        filter = MismatchedResponseFilter.of(request.connection(), protocol.requestIdHeader());
        filter.expect(message.requestId());
        orderlyEnd = OrderlyEnd.of(request.connection());
        request.headers().addAll(message.headers());
        request.exceptionHandler(cause -> fail(broken(cause)));
        request.response().onSuccess(this::onResponse).onFailure(cause -> fail(broken(cause)));
        sending = true;
        listener.onSending();
        List<Buffer> body = message.body().buffers();
        if (!body.isEmpty() || message.headers().contains(CONTENT_LENGTH)) {
            request.putHeader(CONTENT_LENGTH, Integer.toString(message.body().length()));
        }
        write(request, body, 0);
    }

    /** Writes the body as fast as the worker reads it, so that only a small part of it is held twice. */
    private void write(HttpClientRequest request, List<Buffer> body, int from) {
        int next = from;
        while (next < body.size() - 1 && !ended && !request.writeQueueFull()) {
            request.write(body.get(next));
            next++;
        }
        if (ended) {
            return;
        }
        if (next < body.size() - 1) {
            int rest = next;
            request.drainHandler(nothing -> {
                request.drainHandler(null);
                write(request, body, rest);
            });
            return;
        }
        Future<Void> end = body.isEmpty() ? request.end() : request.end(body.get(next));
        end.onSuccess(nothing -> written = true);
    }

    private static AttemptResult broken(Throwable cause) {
        return new AttemptResult.Broken(String.valueOf(cause.getMessage()));
    }

    private void onResponse(HttpClientResponse received) {
        if (ended) {
            return;
        }
        response = received;
        answer = protocol.parseUpstreamResponse(received.statusCode(), received.headers());
        received.exceptionHandler(cause -> fail(broken(cause)));
        received.handler(bytes -> {
            if (!ended) {
                listener.onBody(bytes);
            }
        });
        received.endHandler(nothing -> onEnd());
        listener.onHeaders(answer, received.headers());
    }

    private void onEnd() {
        if (ended) {
            return;
        }
        if (!answer.selfDelimited() && !message.method().equals(HttpMethod.HEAD) && !orderlyEnd.ended()) {
            fail(new AttemptResult.Broken("the connection was broken off in an answer without a length"));
            return;
        }
        ended = true;
        if (filter.discardedResponse() || !written) {
            // the worker still awaits the rest of a request that it has answered already
            connection.close();
        } else {
            connection.release(answer);
        }
        listener.onEnd();
    }

    private void fail(AttemptResult result) {
        if (!ended) {
            close();
            listener.onFailure(result);
        }
    }

    /**
     * Ends the attempt without notifying the listener, and closes the connection, which makes the worker cancel the
     * request.
     */
    void cancel() {
        if (!ended) {
            close();
        }
    }

    /** Returns whether a byte of the request may have been sent. */
    boolean sending() {
        return sending;
    }

    private void close() {
        ended = true;
        if (connection != null) {
            connection.close();
        }
    }

    /** Stops reading the response until {@link #resume}, for a caller that reads slowly. */
    void pause() {
        if (!ended && response != null) {
            response.pause();
        }
    }

    void resume() {
        if (!ended && response != null) {
            response.resume();
        }
    }
}
