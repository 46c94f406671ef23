package io.lagoonseam.core.forward;

/**
 * What came of the latest attempts at a worker.
 *
 * @param outcomes attempts that ended
 * @param failures those that speak against the worker
 */
public record OutcomeCount(int outcomes, int failures) {

    /** Nothing has ended. */
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
     * Takes out a part of this count.
     *
     * @param part the part
     * @return the rest
     */
    public OutcomeCount minus(OutcomeCount part) {
        return new OutcomeCount(outcomes - part.outcomes, failures - part.failures);
    }
}
