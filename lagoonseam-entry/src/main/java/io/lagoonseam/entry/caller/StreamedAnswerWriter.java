package io.lagoonseam.entry.caller;

import io.lagoonseam.core.verdict.Refusal;
import io.vertx.core.http.HttpServerResponse;

/** Streams a generated answer as server-sent events. */
final class StreamedAnswerWriter extends AbstractAnswerWriter {

    private final String model;
    private boolean started;

    StreamedAnswerWriter(HttpServerResponse response, String requestId, String model) {
        super(response, requestId);
        this.model = model;
    }

    @Override
    public void token(String text) {
        if (response().closed()) {
            return;
        }
        begin();
        event(CompletionJson.chunk(requestId(), model, text).encode());
    }

    @Override
    public void completed(int tokens) {
        if (response().closed()) {
            return;
        }
        begin();
        event(CompletionJson.lastChunk(requestId(), model, tokens).encode());
        event("[DONE]");
        response().end();
    }

    @Override
    public void refused(Refusal refusal) {
        if (!started) {
            super.refused(refusal);
            return;
        }
        if (!response().closed()) {
            event(RefusalWriter.toJson(refusal, requestId()).encode());
            response().end();
        }
    }

    private void begin() {
        if (!started) {
            started = true;
            response().setChunked(true).putHeader("Content-Type", "text/event-stream");
        }
    }

    private void event(String data) {
        response().write("data: " + data + "\n\n");
    }
}
