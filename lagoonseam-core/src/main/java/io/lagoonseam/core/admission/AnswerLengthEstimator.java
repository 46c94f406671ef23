package io.lagoonseam.core.admission;

import io.lagoonseam.core.admission.internal.AnswerLengths;

/**
 * Estimates answer lengths in tokens, by class and workspace, from completed answers. The length of an answer is not
 * known when its request is queued. Recent answers have a higher weight. Not thread-safe.
 */
public final class AnswerLengthEstimator {

    private final AnswerLengths lengths = new AnswerLengths();

    /**
     * Records the length of a completed answer.
     *
     * @param className the name of its request class
     * @param workspace the name of its workspace
     * @param tokens its length in tokens, 1 for an answer of a plain service; smaller values count as 1
     */
    public void record(String className, String workspace, int tokens) {
        lengths.record(className, workspace, Math.max(1, tokens));
    }

    /**
     * Estimates the total length of an answer that has been received in part.
     *
     * @param className the name of its request class
     * @param workspace the name of its workspace
     * @param tokensSoFar the number of tokens received so far, 0 before the request is started
     * @return the expected number of tokens, at least {@code tokensSoFar + 1}
     */
    public double expectedTokens(String className, String workspace, int tokensSoFar) {
        return Math.max(tokensSoFar + 1.0, lengths.expected(className, workspace, tokensSoFar));
    }

    /**
     * Returns a quantile of the answer lengths of a class.
     *
     * @param className the name of the request class
     * @param probability the probability of the quantile, from 0 to 1
     * @return the length in tokens, 0 before the first completed answer
     */
    public double quantileTokens(String className, double probability) {
        return lengths.quantile(className, probability);
    }
}
