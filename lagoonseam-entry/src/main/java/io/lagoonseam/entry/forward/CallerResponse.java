package io.lagoonseam.entry.forward;

import io.lagoonseam.wire.DetourMessages.Outcome;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.HttpVersion;

/**
 * Writes the response of one request to its caller: a worker's stream, a worker's complete response, or a response of
 * this node.
 */
final class CallerResponse {

    private static final int NO_EVENT_YET = -1;

    private final ForwardProtocol protocol;
    private final HttpServerRequest request;
    private final RequestSource source;
    private final HttpServerResponse response;
    private long firstEventMillis = NO_EVENT_YET;
    private boolean closeDelimited;
    private boolean writesAnswer;

    CallerResponse(ForwardProtocol protocol, HttpServerRequest request, RequestSource source) {
        this.protocol = protocol;
        this.request = request;
        this.source = source;
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

    /** Returns whether only the close of the connection marks the end of the response that has begun. */
    boolean closeDelimited() {
        return closeDelimited;
    }

    /**
     * Writes the status and headers of a stream unless they have been written already. The response is framed only if
     * that of the worker is and the caller's version of HTTP knows chunks.
     */
    void writeHeaders(UpstreamResponseHeaders answer, MultiMap headers, long sinceArrivalMillis, Outcome outcome) {
        if (headersWritten()) {
            return;
        }
        firstEventMillis = sinceArrivalMillis;
        response.setStatusCode(answer.status());
        response.headers().addAll(protocol.responseHeaders(headers));
        source.addOutcome(response.headers(), outcome);
        response.setChunked(true);
        if (!answer.selfDelimited() || request.version() == HttpVersion.HTTP_1_0) {
            delimitByClose();
        }
    }

    private void delimitByClose() {
        closeDelimited = true;
        response.putHeader("Connection", "close");
        CloseDelimitedResponse.beginOn(request.connection());
    }

    /** Returns whether a worker's complete response is being written, as fast as the caller reads it. */
    boolean writesAnswer() {
        return writesAnswer;
    }

    private void end(Buffer body, Runnable onWritten) {
        writesAnswer = true;
        response.end(body).onComplete(written -> {
            writesAnswer = false;
            onWritten.run();
            if (closeDelimited) {
                if (written.succeeded()) {
                    CloseDelimitedResponse.endOn(request.connection());
                }
                request.connection().close();
            }
        });
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

    /** Ends a stream. */
    void endStream() {
        end(Buffer.buffer(), () -> {});
    }

    /** Writes a worker's complete response, which is framed only if that of the worker is. */
    void writeComplete(
            UpstreamResponseHeaders answer, MultiMap headers, Buffer body, Outcome outcome, Runnable onWritten) {
        response.setStatusCode(answer.status());
        response.headers().addAll(protocol.responseHeaders(headers));
        source.addOutcome(response.headers(), outcome);
        if (!answer.selfDelimited() && request.method() != HttpMethod.HEAD) {
            response.setChunked(true);
            delimitByClose();
        }
        end(body, onWritten);
    }

    /** Writes a response that this node generates itself; its body is the explanation, which may be empty. */
    void writeNodeResponse(int status, String requestId, String explanation, Outcome outcome) {
        response.setStatusCode(status);
        protocol.addNodeHeaders(response.headers(), requestId, outcome.retryAfterMillis());
        source.addOutcome(response.headers(), outcome);
        if (explanation.isEmpty()) {
            response.end();
        } else {
            response.putHeader("Content-Type", "text/plain; charset=utf-8").end(explanation);
        }
    }

    /**
     * Closes or resets the caller's connection in the middle of a response, so that a truncated response cannot be
     * taken for a complete one.
     */
    void abort() {
        if (closeDelimited || request.version() == HttpVersion.HTTP_1_0) {
            CloseDelimitedResponse.breakOff(request.connection());
        } else {
            request.connection().close();
        }
    }
}
