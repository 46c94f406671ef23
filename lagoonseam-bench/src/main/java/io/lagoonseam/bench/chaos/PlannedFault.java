package io.lagoonseam.bench.chaos;

/**
 * One fault of a schedule.
 *
 * @param startMillis when it begins, from the start of the run
 * @param durationMillis how long it lasts
 * @param kind what it is
 * @param target chooses whom it strikes, modulo the number there are
 */
public record PlannedFault(long startMillis, long durationMillis, FaultKind kind, int target) {

    @Override
    public String toString() {
        return "at " + startMillis + " ms for " + durationMillis + " ms: " + kind + " on " + target;
    }
}
