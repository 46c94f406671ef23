package io.lagoonseam.entry.caller;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** The text of a prompt as engines cache it. */
final class PromptText {

    private PromptText() {}

    static String of(JsonObject body) {
        JsonArray messages = body.getJsonArray("messages");
        if (messages.isEmpty() || !(messages.getValue(messages.size() - 1) instanceof JsonObject last)) {
            return "";
        }
        return last.getValue("content") instanceof String text ? text : "";
    }
}
