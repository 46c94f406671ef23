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
        startResponse();
        writeEvent(CompletionJson.chunk(requestId(), model, text).encode());
    }

    @Override
    public void completed(int tokens) {
        if (response().closed()) {
            return;
        }
        startResponse();
        writeEvent(CompletionJson.lastChunk(requestId(), model, tokens).encode());
        writeEvent("[DONE]");
        response().end();
    }

    @Override
    public void refused(Refusal refusal) {
        if (!started) {
            super.refused(refusal);
            return;
        }
        if (!response().closed()) {
            writeEvent(RefusalWriter.toJson(refusal, requestId()).encode());
            response().end();
        }
    }

    /** Sends the response headers with the first event. */
    private void startResponse() {
        if (!started) {
            started = true;
            response().setChunked(true).putHeader("Content-Type", "text/event-stream");
        }
    }

    private void writeEvent(String data) {
        response().write("data: " + data + "\n\n");
    }
}
