package io.lagoonseam.core.forward;

/**
 * Counts of the outcomes of recent attempts at a worker.
 *
 * @param outcomes the number of attempts that ended
 * @param failures the number of those that count as failures of the worker
 */
public record OutcomeCount(int outcomes, int failures) {

    /** A count of no outcomes. */
    public static final OutcomeCount NONE = new OutcomeCount(0, 0);

    /**
     * Adds another count.
     *
     * @param other the other count
     * @return the sum
     */
    public OutcomeCount plus(OutcomeCount other) {
        return new OutcomeCount(outcomes + other.outcomes, failures + other.failures);
    }

    /**
     * Subtracts a count that is part of this one.
     *
     * @param part the count to subtract
     * @return the difference
     */
    public OutcomeCount minus(OutcomeCount part) {
        return new OutcomeCount(outcomes - part.outcomes, failures - part.failures);
    }
}
