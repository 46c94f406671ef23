package io.lagoonseam.core.audit;

/** Receives the events of a node. */
@FunctionalInterface
public interface EventSink {

    /**
     * Records an event.
     *
     * @param code the code of the event
     * @param detail the cause of the event and its values, as text
     */
    void record(EventCode code, String detail);
}
