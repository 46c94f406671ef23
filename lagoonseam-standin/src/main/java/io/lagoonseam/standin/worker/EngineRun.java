package io.lagoonseam.standin.worker;

import io.vertx.core.http.HttpServerRequest;
import java.util.List;

/** One request at an engine. */
final class EngineRun {

    final HttpServerRequest request;
    final int urgency;
    final long arrival;
    final List<PromptPart> parts;
    final int events;
    final int firstEvent;
    int unreadTokens;
    int madeTokens;
    int sentEvents;
    boolean running;
    boolean begun;

    /** A part of a prompt. */
    record PromptPart(String id, int tokens) {}

    EngineRun(
            HttpServerRequest request, int urgency, long arrival, List<PromptPart> parts, int events, int firstEvent) {
        this.request = request;
        this.urgency = urgency;
        this.arrival = arrival;
        this.parts = parts;
        this.events = events;
        this.firstEvent = firstEvent;
    }

    int promptTokens() {
        return parts.stream().mapToInt(PromptPart::tokens).sum();
    }

    int heldTokens() {
        return promptTokens() + madeTokens;
    }
}
