package io.lagoonseam.core.routing;

/** Outcome of an attempt at a worker, reduced to what it says about the health of the worker. */
public enum AttemptOutcome {
    /** The attempt succeeded. */
    SUCCEEDED(0),
    /** The attempt ended for a reason that does not concern the worker. */
    NEUTRAL(0),
    /** The worker closed the connection early or answered with an error. */
    FAILED(1),
    /** The worker could not be reached. */
    UNREACHABLE(3),
    /** The worker sent a mismatched response, which carries the id of another request. */
    MISMATCHED(3);

    private final int severity;

    AttemptOutcome(int severity) {
        this.severity = severity;
    }

    /** Returns the number of failures that this outcome counts for in outlier detection; 0 if it is no failure. */
    int severity() {
        return severity;
    }
}
