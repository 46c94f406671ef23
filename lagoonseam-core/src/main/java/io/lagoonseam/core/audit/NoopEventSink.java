package io.lagoonseam.core.audit;

/** Drops every event. */
public final class NoopEventSink implements EventSink {

    @Override
    public void record(EventCode code, String detail) {
        // Events are not kept.
    }
}
