package io.lagoonseam.bench.chaos;

/**
 * One fault of a schedule.
 *
 * @param startMillis the start of the fault in milliseconds after the start of the run
 * @param durationMillis the duration in milliseconds
 * @param kind the kind of fault
 * @param target selects the affected class, engine, node or data centre as the index {@code target} modulo their number
 */
public record PlannedFault(long startMillis, long durationMillis, FaultKind kind, int target) {

    @Override
    public String toString() {
        return "at " + startMillis + " ms for " + durationMillis + " ms: " + kind + " on " + target;
    }
}
