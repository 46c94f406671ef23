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

/** One attempt to read a stream of tokens. It ends exactly once: completed, failed or abandoned. */
public final class StreamAttempt {

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final String DONE = "[DONE]";
    private static final long MIN_LIFE_TEST_MILLIS = 50;
    private static final int LIFE_TEST_DIVISOR = 4;

    private final Vertx vertx;
    private final Context context;
    private final UpstreamConnections.Key upstream;
    private final UpstreamConnections connections;
    private final String requestId;
    private final StreamLimits limits;
    private final StreamListener listener;
    private final EventStreamParser parser = new EventStreamParser(this::event);
    private HttpClientRequest request;
    private long lastByteNanos = System.nanoTime();
    private long timer = -1;
    private long silenceMillis;
    private int nextIndex;
    private int wholeTokens = -1;
    private boolean ended;

    StreamAttempt(
            Vertx vertx,
            UpstreamConnections connections,
            UpstreamConnections.Key upstream,
            String requestId,
            StreamLimits limits,
            int offset,
            StreamListener listener) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.connections = connections;
        this.upstream = upstream;
        this.requestId = requestId;
        this.limits = limits;
        this.silenceMillis = limits.firstTokenMillis();
        this.nextIndex = offset;
        this.listener = listener;
    }

    void connectFailed(Throwable cause) {
        end(EventCode.CONNECT_FAILED, Verdict.NOT_RUN, String.valueOf(cause.getMessage()), false);
    }

    void send(HttpClientRequest connected, Buffer body) {
        if (ended) {
            connected.reset();
            return;
        }
        request = connected;
        connections.attach(upstream, this);
        armSilenceTimer(silenceMillis);
        listener.sending();
        (body == null ? connected.send() : connected.send(body)).onComplete(answer -> {
            if (answer.succeeded()) {
                answered(answer.result());
            } else {
                broken(answer.cause());
            }
        });
    }

    HttpConnection connection() {
        return request.connection();
    }

    /** Drops the attempt as silent if nothing comes within a window; called for the mates of a silent connection. */
    void testLife(long windowMillis) {
        context.runOnContext(nothing -> {
            long before = lastByteNanos;
            vertx.setTimer(windowMillis, fired -> {
                if (!ended && lastByteNanos == before) {
                    silent("no life within " + windowMillis + " ms beside a silent connection");
                }
            });
        });
    }

    /** Stops reading and closes the connection; the listener hears nothing more. */
    public void abandon() {
        if (!ended) {
            finish();
            if (request != null) {
                request.reset();
            }
        }
    }

    private void answered(HttpClientResponse response) {
        if (ended) {
            return;
        }
        lastByteNanos = System.nanoTime();
        if (response.statusCode() != OK) {
            Verdict verdict = response.statusCode() == NOT_FOUND ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
            end(EventCode.UPSTREAM_ERROR, verdict, "status " + response.statusCode(), false);
            return;
        }
        String answeredId = response.getHeader("X-Request-Id");
        if (answeredId != null && !answeredId.equals(requestId)) {
            mismatched(answeredId);
            return;
        }
        listener.opened(response.getHeader("X-Stream-Id"));
        response.handler(this::bytes);
        response.exceptionHandler(this::broken);
        response.endHandler(nothing -> endOfStream());
    }

    private void bytes(Buffer chunk) {
        lastByteNanos = System.nanoTime();
        if (!ended) {
            parser.accept(chunk);
        }
    }

    private void event(String id, String data) {
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
        take(id, chunk);
    }

    private void take(String id, JsonObject chunk) {
        JsonArray choices = chunk.getJsonArray("choices", new JsonArray());
        JsonObject choice = choices.isEmpty() ? new JsonObject() : choices.getJsonObject(0);
        if (choice.getString("finish_reason") != null) {
            wholeTokens = chunk.getJsonObject("usage", new JsonObject()).getInteger("completion_tokens", nextIndex);
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
        if (wholeTokens != nextIndex) {
            end(EventCode.UPSTREAM_ERROR, Verdict.MAY_HAVE_RUN, "the answer ended early", true);
            return;
        }
        finish();
        listener.completed(wholeTokens);
    }

    private void mismatched(String answeredId) {
        String message = "expected " + requestId + " but got " + answeredId;
        end(EventCode.ANSWER_MISMATCHED, Verdict.MAY_HAVE_RUN, message, false);
        request.reset();
    }

    private void endOfStream() {
        end(EventCode.CONNECTION_BROKEN, Verdict.MAY_HAVE_RUN, "the stream ended early", true);
    }

    private void broken(Throwable cause) {
        end(EventCode.CONNECTION_BROKEN, Verdict.MAY_HAVE_RUN, String.valueOf(cause.getMessage()), true);
    }

    private void expectNextToken() {
        if (silenceMillis != limits.betweenTokensMillis()) {
            silenceMillis = limits.betweenTokensMillis();
            vertx.cancelTimer(timer);
            armSilenceTimer(silenceMillis);
        }
    }

    private void armSilenceTimer(long delayMillis) {
        timer = vertx.setTimer(Math.max(1, delayMillis), fired -> checkSilence());
    }

    private void checkSilence() {
        if (ended) {
            return;
        }
        long silentMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastByteNanos);
        if (silentMillis < silenceMillis) {
            armSilenceTimer(silenceMillis - silentMillis);
            return;
        }
        connections.testMates(upstream, this, lifeTestMillis());
        silent("nothing for " + silentMillis + " ms");
    }

    private long lifeTestMillis() {
        return Math.max(MIN_LIFE_TEST_MILLIS, silenceMillis / LIFE_TEST_DIVISOR);
    }

    private void silent(String message) {
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
