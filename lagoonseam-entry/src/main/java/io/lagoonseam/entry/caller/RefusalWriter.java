package io.lagoonseam.entry.caller;

import io.lagoonseam.core.verdict.Refusal;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.util.Locale;

/** Writes refusals as the JSON errors of the chat-completions interface. */
final class RefusalWriter {

    private static final int FIRST_SERVER_ERROR = 500;
    private static final long MILLIS_PER_SECOND = 1_000;

    private RefusalWriter() {}

    static JsonObject toJson(Refusal refusal, String requestId) {
        JsonObject error = new JsonObject()
                .put("message", refusal.message())
                .put("type", refusal.httpStatus() < FIRST_SERVER_ERROR ? "invalid_request_error" : "server_error")
                .put("code", refusal.event().name().toLowerCase(Locale.ROOT))
                .put("event", refusal.event().number())
                .put("verdict", refusal.verdict().label())
                .put("request_id", requestId);
        refusal.retryAfterMillis().ifPresent(millis -> error.put("retry_after_millis", millis));
        return new JsonObject().put("error", error);
    }

    static void write(HttpServerResponse response, Refusal refusal, String requestId) {
        if (response.ended() || response.closed()) {
            return;
        }
        response.setStatusCode(refusal.httpStatus()).putHeader("Content-Type", "application/json");
        refusal.retryAfterMillis().ifPresent(millis -> response.putHeader("Retry-After", retryAfterSeconds(millis)));
        response.end(toJson(refusal, requestId).encode());
    }

    private static String retryAfterSeconds(long millis) {
        return Long.toString((millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }
}
