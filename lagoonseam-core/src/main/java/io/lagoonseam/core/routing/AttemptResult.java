package io.lagoonseam.core.routing;

/** How an attempt ended, as far as the worker is to blame. */
public enum AttemptResult {
    /** It brought what it should. */
    SUCCEEDED(0),
    /** It ended for reasons that say nothing of the worker. */
    NEUTRAL(0),
    /** The worker broke off or answered with an error. */
    FAILED(1),
    /** The worker could not be reached. */
    UNREACHABLE(3),
    /** The worker answered with another request's id. */
    MISMATCHED(3);

    private final int severity;

    AttemptResult(int severity) {
        this.severity = severity;
    }

    int severity() {
        return severity;
    }
}
