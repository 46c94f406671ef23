package io.lagoonseam.standin.worker;

import io.vertx.core.http.HttpServerRequest;
import java.util.List;

/** Holds the state of one request at a stand-in engine. Confined to the event loop. */
final class EngineRun {

    final HttpServerRequest request;
    final int urgency;
    final long arrival;
    final List<PromptSegment> segments;
    final int totalEvents;
    final int firstEventId;
    int unreadTokens;
    int generatedTokens;
    int sentEvents;
    boolean running;
    boolean started;
    boolean crashes;

    /** A segment of a prompt, identified by the id that callers send, with its length in tokens. */
    record PromptSegment(String id, int tokens) {}

    EngineRun(
            HttpServerRequest request,
            int urgency,
            long arrival,
            List<PromptSegment> segments,
            int totalEvents,
            int firstEventId) {
        this.request = request;
        this.urgency = urgency;
        this.arrival = arrival;
        this.segments = segments;
        this.totalEvents = totalEvents;
        this.firstEventId = firstEventId;
    }

    int promptTokens() {
        return segments.stream().mapToInt(PromptSegment::tokens).sum();
    }

    int kvTokens() {
        return promptTokens() + generatedTokens;
    }
}
