package io.lagoonseam.entry.caller;

import io.vertx.core.http.HttpServerResponse;

/** Writes the answer of a plain service; such an answer has no tokens. */
final class PlainAnswerWriter extends AbstractAnswerWriter {

    PlainAnswerWriter(HttpServerResponse response, String requestId) {
        super(response, requestId);
    }

    @Override
    public void token(String text) {
        throw new IllegalStateException("a plain service has no tokens");
    }

    @Override
    public void completed(int tokens) {
        throw new IllegalStateException("a plain service has no tokens");
    }
}
