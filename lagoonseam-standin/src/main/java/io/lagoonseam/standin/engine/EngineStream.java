package io.lagoonseam.standin.engine;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Holds the state of one answer that a stand-in engine generates. Confined to the event loop. */
final class EngineStream {

    final String id;
    final String requestId;
    final String model;
    final String prompt;
    final int priority;
    final long arrival;
    final int totalTokens;
    int prefillTokens;
    int generatedTokens;
    boolean running;
    boolean stalled;
    HttpServerResponse response;
    long detachedAtMillis;

    EngineStream(String id, String requestId, JsonObject body, int priority, long arrival) {
        this.id = id;
        this.requestId = requestId;
        this.model = body.getString("model");
        this.prompt = lastMessage(body);
        this.priority = priority;
        this.arrival = arrival;
        this.totalTokens = AnswerText.length(prompt, body.getInteger("max_tokens", Integer.MAX_VALUE));
    }

    static String lastMessage(JsonObject body) {
        JsonArray messages = body.getJsonArray("messages", new JsonArray());
        if (messages.isEmpty()) {
            return "";
        }
        return messages.getJsonObject(messages.size() - 1).getString("content", "");
    }

    boolean finished() {
        return generatedTokens >= totalTokens;
    }

    String chunk(int index, String answerId) {
        JsonObject delta = new JsonObject().put("content", AnswerText.token(AnswerText.tag(prompt), index));
        JsonObject choice = new JsonObject().put("index", 0).put("delta", delta).putNull("finish_reason");
        return event(index, answerId, choice, null);
    }

    String lastChunk(String answerId) {
        JsonObject choice =
                new JsonObject().put("index", 0).put("delta", new JsonObject()).put("finish_reason", "stop");
        JsonObject usage = new JsonObject().put("completion_tokens", totalTokens);
        return event(totalTokens, answerId, choice, usage) + "data: [DONE]\n\n";
    }

    private String event(int index, String answerId, JsonObject choice, JsonObject usage) {
        JsonObject data = new JsonObject()
                .put("id", answerId)
                .put("object", "chat.completion.chunk")
                .put("model", model)
                .put("choices", new JsonArray().add(choice));
        if (usage != null) {
            data.put("usage", usage);
        }
        return "id: " + index + "\ndata: " + data.encode() + "\n\n";
    }
}
