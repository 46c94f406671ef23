package io.lagoonseam.entry.caller;

import io.lagoonseam.core.verdict.Refusal;
import io.lagoonseam.entry.dispatch.AnswerSink;
import io.lagoonseam.entry.upstream.PlainAnswer;
import io.vertx.core.http.HttpServerResponse;

/** Base class of writers that write an answer or a refusal to the HTTP response of a caller. */
abstract class AbstractAnswerWriter implements AnswerSink {

    private final HttpServerResponse response;
    private final String requestId;

    AbstractAnswerWriter(HttpServerResponse response, String requestId) {
        this.response = response;
        this.requestId = requestId;
    }

    final HttpServerResponse response() {
        return response;
    }

    final String requestId() {
        return requestId;
    }

    @Override
    public void answered(PlainAnswer answer) {
        if (response.closed()) {
            return;
        }
        response.setStatusCode(answer.status())
                .putHeader("Content-Type", answer.contentType())
                .end(answer.body());
    }

    @Override
    public void refused(Refusal refusal) {
        RefusalWriter.write(response, refusal, requestId);
    }
}
