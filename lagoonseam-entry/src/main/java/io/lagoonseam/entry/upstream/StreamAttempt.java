package io.lagoonseam.entry.upstream;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.verdict.Verdict;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.concurrent.TimeUnit;

/** One attempt to read a stream of tokens. It ends exactly once: completed, failed or cancelled. */
public final class StreamAttempt {

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final String DONE = "[DONE]";
    private static final long MIN_ACTIVITY_WINDOW_MILLIS = 50;
    private static final int ACTIVITY_WINDOW_DIVISOR = 4;

    private final Vertx vertx;
    private final Context context;
    private final UpstreamConnections.Key upstream;
    private final UpstreamConnections connections;
    private final String requestId;
    private final StreamTimeouts timeouts;
    private final StreamListener listener;
    private final EventStreamParser parser = new EventStreamParser(this::handleEvent);
    private HttpClientRequest request;
    private long lastByteNanos = System.nanoTime();
    private long timer = -1;
    private long idleTimeoutMillis;
    private int nextIndex;
    private int totalTokens = -1;
    private boolean ended;
    private boolean startsGeneration;

    StreamAttempt(
            Vertx vertx,
            UpstreamConnections connections,
            UpstreamConnections.Key upstream,
            String requestId,
            StreamTimeouts timeouts,
            int offset,
            StreamListener listener) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.connections = connections;
        this.upstream = upstream;
        this.requestId = requestId;
        this.timeouts = timeouts;
        this.idleTimeoutMillis = timeouts.firstTokenIdleMillis();
        this.nextIndex = offset;
        this.listener = listener;
    }

    void connectFailed(Throwable cause) {
        end(EventCode.CONNECT_FAILED, Verdict.NOT_RUN, String.valueOf(cause.getMessage()), false);
    }

    void send(HttpClientRequest connected, Buffer body) {
        startsGeneration = body != null;
        if (ended) {
            connected.reset();
            return;
        }
        request = connected;
        connections.attach(upstream, this);
        armIdleTimer(idleTimeoutMillis);
        listener.sending();
        (body == null ? connected.send() : connected.send(body)).onComplete(answer -> {
            if (answer.succeeded()) {
                handleResponse(answer.result());
            } else {
                handleBrokenConnection(answer.cause());
            }
        });
    }

    HttpConnection connection() {
        return request.connection();
    }

    /**
     * Fails the attempt as unresponsive if no byte is received within the window, in milliseconds. Called when another
     * connection to the same upstream was found unresponsive.
     */
    void requireActivity(long windowMillis) {
        context.runOnContext(ignored -> {
            long previousByteNanos = lastByteNanos;
            vertx.setTimer(windowMillis, fired -> {
                if (!ended && lastByteNanos == previousByteNanos) {
                    failUnresponsive("no life within " + windowMillis + " ms beside a silent connection");
                }
            });
        });
    }

    /** Cancels the attempt and resets its request, which closes the connection. The listener is not called any more. */
    public void cancel() {
        if (!ended) {
            finish();
            if (request != null) {
                request.reset();
            }
        }
    }

    private void handleResponse(HttpClientResponse response) {
        if (ended) {
            return;
        }
        lastByteNanos = System.nanoTime();
        if (response.statusCode() != OK) {
            handleErrorStatus(response.statusCode());
            return;
        }
        String answeredId = response.getHeader("X-Request-Id");
        if (answeredId != null && !answeredId.equals(requestId)) {
            mismatched(answeredId);
            return;
        }
        listener.opened(response.getHeader("X-Stream-Id"));
        response.handler(this::handleBytes);
        response.exceptionHandler(this::handleBrokenConnection);
        response.endHandler(ignored -> endOfStream());
    }

    private void handleErrorStatus(int status) {
        String message = "status " + status;
        if (status != NOT_FOUND) {
            end(EventCode.UPSTREAM_ERROR, Verdict.MAY_HAVE_RUN, message, false);
        } else if (startsGeneration) {
            end(EventCode.UPSTREAM_NOT_SERVING, Verdict.NOT_RUN, message, false);
        } else {
            end(EventCode.UPSTREAM_ERROR, Verdict.NOT_RUN, message, false);
        }
    }

    private void handleBytes(Buffer chunk) {
        lastByteNanos = System.nanoTime();
        if (!ended) {
            parser.accept(chunk);
        }
    }

    private void handleEvent(String id, String data) {
        if (ended) {
            return;
        }
        if (DONE.equals(data)) {
            complete();
            return;
        }
        JsonObject chunk;
        try {
            chunk = new JsonObject(data);
        } catch (DecodeException e) {
            end(EventCode.UPSTREAM_ERROR, Verdict.MAY_HAVE_RUN, "unreadable event", false);
            return;
        }
        if (!requestId.equals(chunk.getString("id"))) {
            mismatched(chunk.getString("id"));
            return;
        }
        handleChunk(id, chunk);
    }

    private void handleChunk(String id, JsonObject chunk) {
        JsonArray choices = chunk.getJsonArray("choices", new JsonArray());
        JsonObject choice = choices.isEmpty() ? new JsonObject() : choices.getJsonObject(0);
        if (choice.getString("finish_reason") != null) {
            totalTokens = chunk.getJsonObject("usage", new JsonObject()).getInteger("completion_tokens", nextIndex);
            return;
        }
        int index = id == null ? nextIndex : Integer.parseInt(id);
        if (index < nextIndex) {
            return;
        }
        if (index > nextIndex) {
            end(EventCode.UPSTREAM_ERROR, Verdict.MAY_HAVE_RUN, "token " + nextIndex + " is missing", true);
            return;
        }
        nextIndex++;
        expectNextToken();
        listener.token(index, choice.getJsonObject("delta", new JsonObject()).getString("content", ""));
    }

    private void complete() {
        if (totalTokens != nextIndex) {
            end(EventCode.UPSTREAM_ERROR, Verdict.MAY_HAVE_RUN, "the answer ended early", true);
            return;
        }
        finish();
        listener.completed(totalTokens);
    }

    private void mismatched(String answeredId) {
        String message = "expected " + requestId + " but got " + answeredId;
        end(EventCode.ANSWER_MISMATCHED, Verdict.MAY_HAVE_RUN, message, false);
        request.reset();
    }

    private void endOfStream() {
        end(EventCode.CONNECTION_BROKEN, Verdict.MAY_HAVE_RUN, "the stream ended early", true);
    }

    private void handleBrokenConnection(Throwable cause) {
        end(EventCode.CONNECTION_BROKEN, Verdict.MAY_HAVE_RUN, String.valueOf(cause.getMessage()), true);
    }

    private void expectNextToken() {
        if (idleTimeoutMillis != timeouts.betweenTokensIdleMillis()) {
            idleTimeoutMillis = timeouts.betweenTokensIdleMillis();
            vertx.cancelTimer(timer);
            armIdleTimer(idleTimeoutMillis);
        }
    }

    private void armIdleTimer(long delayMillis) {
        timer = vertx.setTimer(Math.max(1, delayMillis), fired -> checkIdleTimeout());
    }

    private void checkIdleTimeout() {
        if (ended) {
            return;
        }
        long idleMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastByteNanos);
        if (idleMillis < idleTimeoutMillis) {
            armIdleTimer(idleTimeoutMillis - idleMillis);
            return;
        }
        connections.handleUnresponsive(upstream, this, activityWindowMillis());
        failUnresponsive("nothing for " + idleMillis + " ms");
    }

    private long activityWindowMillis() {
        return Math.max(MIN_ACTIVITY_WINDOW_MILLIS, idleTimeoutMillis / ACTIVITY_WINDOW_DIVISOR);
    }

    private void failUnresponsive(String message) {
        request.connection().close();
        end(EventCode.UPSTREAM_SILENT, Verdict.MAY_HAVE_RUN, message, true);
    }

    private void end(EventCode event, Verdict verdict, String message, boolean resumable) {
        if (!ended) {
            finish();
            listener.failed(new AttemptFailure(event, verdict, message, resumable));
        }
    }

    private void finish() {
        ended = true;
        vertx.cancelTimer(timer);
        connections.detach(upstream, this);
    }
}
