package io.lagoonseam.entry.caller;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Extracts the text by which a request is routed to a worker with a matching cached prefix. */
final class PromptText {

    private PromptText() {}

    /** Returns the text content of the last message, or an empty string if it has none. */
    static String of(JsonObject body) {
        JsonArray messages = body.getJsonArray("messages");
        if (messages.isEmpty() || !(messages.getValue(messages.size() - 1) instanceof JsonObject last)) {
            return "";
        }
        return last.getValue("content") instanceof String text ? text : "";
    }
}
