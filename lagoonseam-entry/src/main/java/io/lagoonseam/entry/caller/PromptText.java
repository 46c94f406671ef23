package io.lagoonseam.entry.caller;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Extracts the text of a prompt in the form in which model engines cache it. */
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
