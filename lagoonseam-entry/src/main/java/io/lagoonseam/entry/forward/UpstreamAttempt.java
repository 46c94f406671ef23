package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.AttemptResult;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

/** One send of a request to one worker. It reports to its listener until it has ended or is cancelled. */
final class UpstreamAttempt {

    private final ForwardProtocol protocol;
    private final WorkerConnections connections;
    private final Message message;
    private final Listener listener;
    private WorkerConnections.Connection connection;
    private AnswerFilter filter;
    private HttpClientResponse response;
    private AnswerHead answer;
    private boolean over;

    /**
     * What is sent.
     *
     * @param method the HTTP method
     * @param uri the path and query as the caller sent them
     * @param headers the headers
     * @param body the body
     * @param requestId the id that the worker has to echo
     */
    record Message(HttpMethod method, String uri, MultiMap headers, Buffer body, String requestId) {}

    /** Hears what comes of an attempt: a head, bytes and an end, or a failure at any time before the end. */
    interface Listener {

        /** The request is on its way: from here on the worker may run it. */
        void onSent();

        /** The head of an answer that belongs to the request. */
        void onHead(AnswerHead head, MultiMap headers);

        /** Bytes of the body. */
        void onBody(Buffer bytes);

        /** The whole answer has come. */
        void onEnd();

        /** The attempt failed. */
        void onFailure(AttemptResult result);
    }

    UpstreamAttempt(ForwardProtocol protocol, WorkerConnections connections, Message message, Listener listener) {
        this.protocol = protocol;
        this.connections = connections;
        this.message = message;
        this.listener = listener;
    }

    void start() {
        connections.acquire().onComplete(acquired -> {
            if (over) {
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
            connection
                    .http()
                    .request(new RequestOptions().setMethod(message.method()).setURI(message.uri()))
                    .onSuccess(this::send)
                    .onFailure(cause ->
                            fail(new AttemptResult.NotRun("the connection closed: " + cause.getMessage(), false)));
        });
    }

    private void send(HttpClientRequest request) {
        if (over) {
            return;
        }
        filter = AnswerFilter.of(request.connection(), protocol.requestIdHeader());
        filter.expect(message.requestId());
        request.headers().addAll(message.headers());
        request.exceptionHandler(cause -> fail(broken(cause)));
        request.response().onSuccess(this::onResponse).onFailure(cause -> fail(broken(cause)));
        listener.onSent();
        if (message.body().length() == 0 && !message.headers().contains("Content-Length")) {
            request.end();
        } else {
            request.end(message.body());
        }
    }

    private static AttemptResult broken(Throwable cause) {
        return new AttemptResult.Broken(String.valueOf(cause.getMessage()));
    }

    private void onResponse(HttpClientResponse received) {
        if (over) {
            return;
        }
        response = received;
        answer = protocol.answer(received.statusCode(), received.headers());
        received.exceptionHandler(cause -> fail(broken(cause)));
        received.handler(bytes -> {
            if (!over) {
                listener.onBody(bytes);
            }
        });
        received.endHandler(nothing -> onEnd());
        listener.onHead(answer, received.headers());
    }

    private void onEnd() {
        if (over) {
            return;
        }
        over = true;
        if (filter.spoiled()) {
            connection.close();
        } else {
            connection.release(answer);
        }
        listener.onEnd();
    }

    private void fail(AttemptResult result) {
        if (!over) {
            close();
            listener.onFailure(result);
        }
    }

    /** Ends the attempt without a report; the worker learns it from the closed connection. */
    void cancel() {
        if (!over) {
            close();
        }
    }

    private void close() {
        over = true;
        if (connection != null) {
            connection.close();
        }
    }

    /** Stops reading until {@link #resume}, for a caller that reads slowly. */
    void pause() {
        if (!over && response != null) {
            response.pause();
        }
    }

    void resume() {
        if (!over && response != null) {
            response.resume();
        }
    }
}
