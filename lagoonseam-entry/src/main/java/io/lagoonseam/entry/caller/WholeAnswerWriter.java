package io.lagoonseam.entry.caller;

import io.vertx.core.http.HttpServerResponse;

/** Collects a generated answer and writes it whole. */
final class WholeAnswerWriter extends AbstractAnswerWriter {

    private final StringBuilder text = new StringBuilder();
    private final String model;

    WholeAnswerWriter(HttpServerResponse response, String requestId, String model) {
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
                .end(CompletionJson.whole(requestId(), model, text.toString(), tokens)
                        .encode());
    }
}
