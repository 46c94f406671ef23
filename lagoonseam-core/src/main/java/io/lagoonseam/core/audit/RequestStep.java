package io.lagoonseam.core.audit;

/**
 * One step of a request.
 *
 * @param atMillis when, in milliseconds after its arrival
 * @param kind what kind of step
 * @param detail its cause and values, in words
 */
public record RequestStep(long atMillis, Kind kind, String detail) {

    /** The kinds of steps. */
    public enum Kind {
        /** It was given to a class. */
        CLASSIFIED,
        /** The workers that could take it were weighed and one was chosen. */
        WEIGHED,
        /** An attempt began. */
        ATTEMPT,
        /** An attempt failed. */
        ATTEMPT_FAILED,
        /** It got its final answer. */
        ENDED
    }
}
