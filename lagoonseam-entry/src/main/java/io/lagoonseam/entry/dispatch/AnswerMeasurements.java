package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.configuration.RequestClass;
import io.lagoonseam.core.configuration.ServiceLevel;

/**
 * Measurements of one answered request.
 *
 * @param requestClass the class of the request
 * @param workspace the name of its workspace
 * @param worker the name of the worker that completed the answer
 * @param serviceLevel the latency objectives of its class
 * @param firstTokenMillis milliseconds from arrival to the first token, or to the complete answer of a plain service
 * @param totalMillis milliseconds from arrival to the end of the answer
 * @param tokens the number of tokens in the answer, 0 for a plain service
 */
public record AnswerMeasurements(
        RequestClass requestClass,
        String workspace,
        String worker,
        ServiceLevel serviceLevel,
        long firstTokenMillis,
        long totalMillis,
        int tokens) {

    /**
     * Returns the mean time between tokens.
     *
     * @return milliseconds, 0 for fewer than two tokens
     */
    public double betweenTokensMillis() {
        return tokens < 2 ? 0 : (double) (totalMillis - firstTokenMillis) / (tokens - 1);
    }

    /**
     * Returns whether the latency objectives were met.
     *
     * @return true if the times to the first token and between tokens are both within their objectives
     */
    public boolean metObjectives() {
        return firstTokenMillis <= serviceLevel.firstTokenMillis()
                && betweenTokensMillis() <= serviceLevel.betweenTokensMillis();
    }
}
