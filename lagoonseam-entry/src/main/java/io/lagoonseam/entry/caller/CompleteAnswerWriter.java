package io.lagoonseam.entry.caller;

import io.vertx.core.http.HttpServerResponse;

/** Buffers the tokens of a generated answer and writes the complete answer as one JSON object. */
final class CompleteAnswerWriter extends AbstractAnswerWriter {

    private final StringBuilder text = new StringBuilder();
    private final String model;

    CompleteAnswerWriter(HttpServerResponse response, String requestId, String model) {
        super(response, requestId);
        this.model = model;
    }

    @Override
    public void token(String tokenText) {
        text.append(tokenText);
    }

    @Override
    public void completed(int tokens) {
        if (response().closed()) {
            return;
        }
        response()
                .putHeader("Content-Type", "application/json")
                .end(CompletionJson.completion(requestId(), model, text.toString(), tokens)
                        .encode());
    }
}
