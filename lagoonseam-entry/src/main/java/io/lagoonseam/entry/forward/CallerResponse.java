package io.lagoonseam.entry.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

/**
 * Writes the response of one request to its caller: a worker's stream, a worker's complete response, or a response of
 * this node.
 */
final class CallerResponse {

    private static final int NO_EVENT_YET = -1;

    private final ForwardProtocol protocol;
    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private long firstEventMillis = NO_EVENT_YET;

    CallerResponse(ForwardProtocol protocol, HttpServerRequest request) {
        this.protocol = protocol;
        this.request = request;
        this.response = request.response();
    }

    /**
     * Returns whether a worker's status and headers have been written, after which only events of that stream may
     * follow.
     */
    boolean headersWritten() {
        return firstEventMillis != NO_EVENT_YET;
    }

    /**
     * Returns the time from the arrival of the request until the headers of its stream were written, in milliseconds; 0
     * before. The headers are written with the first event, or at the end of a stream without events.
     */
    long firstEventMillis() {
        return Math.max(0, firstEventMillis);
    }

    /** Writes the status and headers of a stream unless they have been written already. */
    void writeHeaders(UpstreamResponseHeaders answer, MultiMap headers, long sinceArrivalMillis) {
        if (headersWritten()) {
            return;
        }
        firstEventMillis = sinceArrivalMillis;
        response.setStatusCode(answer.status());
        response.headers().addAll(protocol.responseHeaders(headers));
        response.setChunked(true);
    }

    /**
     * Writes events.
     *
     * @param events the events
     * @param onDrained called once the caller has read enough, if this returns false
     * @return whether more may be written now; false if the caller reads more slowly than events arrive
     */
    boolean writeEvents(Buffer events, Runnable onDrained) {
        response.write(events);
        if (!response.writeQueueFull()) {
            return true;
        }
        response.drainHandler(nothing -> onDrained.run());
        return false;
    }

    /** Ends a stream with its remaining bytes. */
    void endStream(Buffer rest) {
        response.end(rest);
    }

    /** Writes a worker's complete response. */
    void writeComplete(UpstreamResponseHeaders answer, MultiMap headers, Buffer body) {
        response.setStatusCode(answer.status());
        response.headers().addAll(protocol.responseHeaders(headers));
        response.end(body);
    }

    /** Writes a response without a body that this node generates itself. */
    void writeNodeResponse(int status, String requestId, long retryAfterMillis) {
        response.setStatusCode(status);
        protocol.addNodeHeaders(response.headers(), requestId, retryAfterMillis);
        response.end();
    }

    /**
     * Closes the caller's connection in the middle of a response, so that a truncated response cannot be taken for a
     * complete one.
     */
    void abort() {
        request.connection().close();
    }
}
