package io.lagoonseam.entry.upstream;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.verdict.Verdict;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.concurrent.TimeUnit;

/** One attempt to read a stream of tokens. It ends exactly once: completed, failed or abandoned. */
public final class StreamAttempt {

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final String DATA = "data: ";
    private static final String ID = "id: ";
    private static final String DONE = "[DONE]";

    private final Vertx vertx;
    private final String requestId;
    private final long silenceMillis;
    private final StreamListener listener;
    private final EventStreamParser parser = new EventStreamParser(this::event);
    private HttpClientRequest request;
    private long lastByteNanos = System.nanoTime();
    private long timer = -1;
    private int nextIndex;
    private int wholeTokens = -1;
    private boolean ended;

    StreamAttempt(Vertx vertx, String requestId, long silenceMillis, int offset, StreamListener listener) {
        this.vertx = vertx;
        this.requestId = requestId;
        this.silenceMillis = silenceMillis;
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
        end(EventCode.UPSTREAM_SILENT, Verdict.MAY_HAVE_RUN, "nothing for " + silentMillis + " ms", true);
        request.reset();
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
    }

    /** Splits a stream of server-sent events. */
    static final class EventStreamParser {

        private final EventHandler handler;
        private Buffer pending = Buffer.buffer();
        private String id;

        EventStreamParser(EventHandler handler) {
            this.handler = handler;
        }

        /** Receives one event. */
        @FunctionalInterface
        interface EventHandler {
            void event(String id, String data);
        }

        void accept(Buffer chunk) {
            pending.appendBuffer(chunk);
            int start = 0;
            for (int end = 0; end < pending.length(); end++) {
                if (pending.getByte(end) == '\n') {
                    line(pending.getString(start, end));
                    start = end + 1;
                }
            }
            pending = pending.getBuffer(start, pending.length());
        }

        private void line(String line) {
            String text = line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
            if (text.startsWith(ID)) {
                id = text.substring(ID.length());
            } else if (text.startsWith(DATA)) {
                String eventId = id;
                id = null;
                handler.event(eventId, text.substring(DATA.length()));
            }
        }
    }
}
