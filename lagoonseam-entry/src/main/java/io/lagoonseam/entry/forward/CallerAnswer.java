package io.lagoonseam.entry.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

/** Writes the answer of one request to its caller: a worker's stream, a worker's whole answer, or one of the node. */
final class CallerAnswer {

    private static final int NOT_BEGUN = -1;

    private final ForwardProtocol protocol;
    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private long firstEventMillis = NOT_BEGUN;

    CallerAnswer(ForwardProtocol protocol, HttpServerRequest request) {
        this.protocol = protocol;
        this.request = request;
        this.response = request.response();
    }

    /** Returns whether a worker's head has been passed on, after which only that worker's stream may follow. */
    boolean begun() {
        return firstEventMillis != NOT_BEGUN;
    }

    /** Returns the time from the request to its first event, in milliseconds, 0 before it. */
    long firstEventMillis() {
        return Math.max(0, firstEventMillis);
    }

    /** Passes on the head of a stream, if that has not been done yet. */
    void begin(AnswerHead head, MultiMap headers, long sinceArrivalMillis) {
        if (begun()) {
            return;
        }
        firstEventMillis = sinceArrivalMillis;
        response.setStatusCode(head.status());
        response.headers().addAll(protocol.callerHeaders(headers));
        response.setChunked(true);
    }

    /** Passes on events, and lets the worker wait while the caller does not read them. */
    void events(Buffer events, UpstreamAttempt from) {
        response.write(events);
        if (response.writeQueueFull()) {
            from.pause();
            response.drainHandler(nothing -> from.resume());
        }
    }

    /** Ends a stream. */
    void endStream(Buffer rest) {
        response.end(rest);
    }

    /** Passes on a worker's whole answer. */
    void whole(AnswerHead head, MultiMap headers, Buffer body) {
        response.setStatusCode(head.status());
        response.headers().addAll(protocol.callerHeaders(headers));
        response.end(body);
    }

    /** Writes an answer of the node itself. */
    void own(int status, String requestId, long retryAfterMillis) {
        response.setStatusCode(status);
        protocol.own(response.headers(), requestId, retryAfterMillis);
        response.end();
    }

    /** Closes the caller's connection in the middle of an answer, so that the answer does not look complete. */
    void breakOff() {
        request.connection().close();
    }
}
