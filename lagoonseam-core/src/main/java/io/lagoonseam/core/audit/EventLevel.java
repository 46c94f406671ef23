package io.lagoonseam.core.audit;

/** Severity of an event. */
public enum EventLevel {
    /** Normal operation. */
    INFO,
    /** A failure that the node handled by itself. */
    WARNING,
    /** A failure that needs an operator's intervention. */
    ERROR
}
