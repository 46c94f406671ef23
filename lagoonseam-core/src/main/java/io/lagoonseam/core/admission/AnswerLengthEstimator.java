package io.lagoonseam.core.admission;

import io.lagoonseam.core.admission.internal.AnswerLengths;

/**
 * Estimates the lengths of answers, which nobody knows in advance, by class and workspace from answers that ended.
 * Later answers weigh more. Not thread-safe.
 */
public final class AnswerLengthEstimator {

    private final AnswerLengths lengths = new AnswerLengths();

    /**
     * Learns from an answer that ended.
     *
     * @param className its class
     * @param workspace its workspace
     * @param tokens its length, 1 for an answer of a plain service
     */
    public void record(String className, String workspace, int tokens) {
        lengths.record(className, workspace, Math.max(1, tokens));
    }

    /**
     * Estimates the whole length of an answer of which a part has come.
     *
     * @param className its class
     * @param workspace its workspace
     * @param tokensSoFar the tokens that have come, 0 before it is started
     * @return tokens, at least 1 and more than those that have come
     */
    public double expectedTokens(String className, String workspace, int tokensSoFar) {
        return Math.max(tokensSoFar + 1.0, lengths.expected(className, workspace, tokensSoFar));
    }

    /**
     * Returns a quantile of the lengths of a class.
     *
     * @param className the class
     * @param share from 0 to 1
     * @return tokens, 0 before the first answer
     */
    public double quantileTokens(String className, double share) {
        return lengths.quantile(className, share);
    }
}
