package io.lagoonseam.entry.forward;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.EventSink;

/** Tells when the store stops answering and when it answers again, once each. */
final class StoreContact {

    private final EventSink events;
    private boolean answers = true;

    StoreContact(EventSink events) {
        this.events = events;
    }

    /** Notes an answer to a call about something. */
    void answered(String about) {
        if (!answers) {
            answers = true;
            events.record(EventCode.PLATFORM_REACHABLE, about);
        }
    }

    /** Notes a call about something that failed. */
    void failed(String about, String reason) {
        if (answers) {
            answers = false;
            events.record(EventCode.PLATFORM_UNREACHABLE, about + ": " + reason);
        }
    }
}
