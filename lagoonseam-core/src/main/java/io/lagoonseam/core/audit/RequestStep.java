package io.lagoonseam.core.audit;

/**
 * A step in the processing of a request.
 *
 * @param atMillis the time of the step, in milliseconds after the arrival of the request
 * @param kind the kind of step
 * @param detail the cause of the step and its values, as text
 */
public record RequestStep(long atMillis, Kind kind, String detail) {

    /** The kinds of steps. */
    public enum Kind {
        /** The request was assigned to a request class. */
        CLASSIFIED,
        /** The eligible workers were compared and one was selected. */
        WEIGHED,
        /** An attempt was started. */
        ATTEMPT,
        /** An attempt failed. */
        ATTEMPT_FAILED,
        /** The request received its final answer. */
        ENDED
    }
}
