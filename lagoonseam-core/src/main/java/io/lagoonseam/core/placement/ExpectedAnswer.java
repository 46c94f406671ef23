package io.lagoonseam.core.placement;

/**
 * What the caller of a request expects of its answer.
 *
 * @param tokens the tokens that the answer may have; 0 if the caller does not state them
 * @param endMillis the time at which the caller leaves, on the monotonic clock of the home, in milliseconds
 */
public record ExpectedAnswer(int tokens, long endMillis) {

    /** Nothing is known. */
    public static final ExpectedAnswer UNKNOWN = new ExpectedAnswer(0, Long.MAX_VALUE);

    /** Returns whether it is known how long the answer takes. */
    public boolean known() {
        return tokens > 0;
    }
}
