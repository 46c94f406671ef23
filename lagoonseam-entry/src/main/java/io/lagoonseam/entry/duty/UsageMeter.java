package io.lagoonseam.entry.duty;

/** Counts the requests that workers begin to run. */
@FunctionalInterface
public interface UsageMeter {

    /** Counts nothing. */
    UsageMeter NONE = (workspace, agoMillis) -> {};

    /**
     * Counts a request.
     *
     * @param workspace its workspace, empty if it has none
     * @param agoMillis how long ago a worker began to run it, in milliseconds
     */
    void began(String workspace, long agoMillis);
}
