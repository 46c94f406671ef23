package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.configuration.RequestClass;
import io.lagoonseam.core.configuration.ServiceLevel;

/**
 * What is measured of one request that was answered.
 *
 * @param requestClass its class
 * @param workspace its workspace
 * @param worker the worker that ended it
 * @param serviceLevel the targets of its class
 * @param firstTokenMillis from arrival to the first token, or to the whole answer of a plain service
 * @param totalMillis from arrival to the end of the answer
 * @param tokens the tokens of the answer, 0 for a plain service
 */
public record RequestOutcome(
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
     * Returns whether the targets were met.
     *
     * @return true if both were
     */
    public boolean attained() {
        return firstTokenMillis <= serviceLevel.firstTokenMillis()
                && betweenTokensMillis() <= serviceLevel.betweenTokensMillis();
    }
}
