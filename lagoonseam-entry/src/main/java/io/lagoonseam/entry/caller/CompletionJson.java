package io.lagoonseam.entry.caller;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Builds the JSON bodies of the chat-completions interface. */
final class CompletionJson {

    private CompletionJson() {}

    static JsonObject chunk(String requestId, String model, String text) {
        JsonObject choice = new JsonObject()
                .put("index", 0)
                .put("delta", new JsonObject().put("content", text))
                .putNull("finish_reason");
        return envelope(requestId, model, "chat.completion.chunk", choice);
    }

    static JsonObject lastChunk(String requestId, String model, int tokens) {
        JsonObject choice =
                new JsonObject().put("index", 0).put("delta", new JsonObject()).put("finish_reason", "stop");
        return envelope(requestId, model, "chat.completion.chunk", choice).put("usage", usage(tokens));
    }

    static JsonObject completion(String requestId, String model, String text, int tokens) {
        JsonObject message = new JsonObject().put("role", "assistant").put("content", text);
        JsonObject choice =
                new JsonObject().put("index", 0).put("message", message).put("finish_reason", "stop");
        return envelope(requestId, model, "chat.completion", choice).put("usage", usage(tokens));
    }

    private static JsonObject usage(int tokens) {
        return new JsonObject().put("completion_tokens", tokens);
    }

    private static JsonObject envelope(String requestId, String model, String object, JsonObject choice) {
        return new JsonObject()
                .put("id", requestId)
                .put("object", object)
                .put("model", model)
                .put("choices", new JsonArray().add(choice));
    }
}
