package io.lagoonseam.core.audit;

/** Receives numbered events. */
@FunctionalInterface
public interface EventSink {

    /**
     * Records an event.
     *
     * @param code the event
     * @param detail what happened, in words and values
     */
    void record(EventCode code, String detail);
}
