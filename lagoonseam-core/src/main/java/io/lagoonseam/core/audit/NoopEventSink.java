package io.lagoonseam.core.audit;

/** Discards all events. */
public final class NoopEventSink implements EventSink {

    @Override
    public void record(EventCode code, String detail) {
        // discarded
    }
}
