package io.lagoonseam.core.audit;

/** How urgently an event needs an operator. */
public enum EventLevel {
    /** Ordinary progress. */
    INFO,
    /** Something failed and was dealt with. */
    WARNING,
    /** Something needs an operator. */
    ERROR
}
