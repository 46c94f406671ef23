package io.lagoonseam.core.placement;

/**
 * Estimates the pace of answers at the engines of a service, while an engine reads prompts and while it reads none,
 * from the answers that have ended (least squares). Callers that state a wrong number of tokens shift the estimate by
 * the mean of their error only. Not thread-safe.
 */
final class AnswerPace {

    /** The paces before anything has been observed, in tokens per millisecond: those of present engines. */
    private static final double INITIAL_WHILE_READING = 1.0 / 40;

    private static final double INITIAL_OTHERWISE = 1.0 / 8;

    /** The weight of the initial paces, as observed times in milliseconds. */
    private static final double INITIAL_READING_MILLIS = 4_000;

    private static final double INITIAL_OTHER_MILLIS = 1_000;

    /** Answers with fewer tokens tell little. */
    private static final int MIN_TOKENS = 16;

    /** How many times the tokens that were expected of an answer count at most. */
    private static final double MAX_DEVIATION = 4;

    /** What is left of the weight of earlier answers after each further one. */
    private static final double RETAINED = 0.995;

    /** The least ratio of both paces. */
    private static final double MIN_RATIO = 1.2;

    /** How much slower than initially assumed an engine may be that reads prompts. */
    private static final double MAX_SLOWDOWN = 10;

    private double readingSquares;
    private double otherSquares;
    private double products;
    private double readingTokens;
    private double otherTokens;

    /**
     * Records the end of an answer.
     *
     * @param statedTokens the tokens that its caller stated; what is far from the estimate counts as far less
     * @param readingMillis the time of the answer in which its engine read prompts, in milliseconds
     * @param otherMillis the rest of its time, in milliseconds
     */
    void observe(int statedTokens, double readingMillis, double otherMillis) {
        if (statedTokens < MIN_TOKENS) {
            return;
        }
        Paces paces = paces();
        double expected = paces.whileReading * readingMillis + paces.otherwise * otherMillis;
        double tokens = Math.min(statedTokens, Math.max(MIN_TOKENS, MAX_DEVIATION * expected));
        readingSquares = RETAINED * readingSquares + readingMillis * readingMillis;
        otherSquares = RETAINED * otherSquares + otherMillis * otherMillis;
        products = RETAINED * products + readingMillis * otherMillis;
        readingTokens = RETAINED * readingTokens + readingMillis * tokens;
        otherTokens = RETAINED * otherTokens + otherMillis * tokens;
    }

    /** Returns the present estimate. */
    Paces paces() {
        double initialReading = INITIAL_READING_MILLIS * INITIAL_READING_MILLIS;
        double initialOther = INITIAL_OTHER_MILLIS * INITIAL_OTHER_MILLIS;
        double readingReading = readingSquares + initialReading;
        double otherOther = otherSquares + initialOther;
        double reading = readingTokens + initialReading * INITIAL_WHILE_READING;
        double other = otherTokens + initialOther * INITIAL_OTHERWISE;
        double determinant = readingReading * otherOther - products * products;
        double whileReading = Math.max(0, (reading * otherOther - other * products) / determinant);
        double otherwise = (other * readingReading - reading * products) / determinant;
        return new Paces(
                whileReading,
                Math.max(otherwise, MIN_RATIO * Math.max(whileReading, INITIAL_WHILE_READING / MAX_SLOWDOWN)));
    }

    /**
     * The pace of an answer.
     *
     * @param whileReading while its engine reads prompts, in tokens per millisecond
     * @param otherwise while its engine reads none, in tokens per millisecond; more than while it reads
     */
    record Paces(double whileReading, double otherwise) {

        /**
         * Returns for how long an engine may read prompts beside an answer.
         *
         * @param tokens the tokens of the answer
         * @param leftMillis the time for which its caller waits, in milliseconds
         * @return the time in milliseconds, infinite if the answer ends in any case, negative if it cannot end in time
         */
        double spareMillis(int tokens, double leftMillis) {
            return whileReading * leftMillis >= tokens
                    ? Double.POSITIVE_INFINITY
                    : (otherwise * leftMillis - tokens) / (otherwise - whileReading);
        }
    }
}
