package io.lagoonseam.core.limits;

import io.lagoonseam.core.configuration.Limits;
import java.util.function.DoubleBinaryOperator;

/**
 * Amounts in the three things that are limited.
 *
 * @param requestsPerSecond the rate of requests
 * @param tokensPerSecond the rate of generated tokens
 * @param concurrency requests at once
 */
public record LimitAmounts(double requestsPerSecond, double tokensPerSecond, double concurrency) {

    /** Nothing of any. */
    public static final LimitAmounts ZERO = new LimitAmounts(0, 0, 0);

    /**
     * Returns the whole of a workspace's limits.
     *
     * @param limits the limits
     * @return the amounts
     */
    public static LimitAmounts of(Limits limits) {
        return new LimitAmounts(limits.requestsPerSecond(), limits.tokensPerSecond(), limits.concurrency());
    }

    /**
     * Combines each amount with its counterpart.
     *
     * @param other the other amounts
     * @param operator how two amounts are combined
     * @return the combined amounts
     */
    public LimitAmounts combine(LimitAmounts other, DoubleBinaryOperator operator) {
        return new LimitAmounts(
                operator.applyAsDouble(requestsPerSecond, other.requestsPerSecond),
                operator.applyAsDouble(tokensPerSecond, other.tokensPerSecond),
                operator.applyAsDouble(concurrency, other.concurrency));
    }

    /**
     * Returns equal parts.
     *
     * @param parts how many, at least 1
     * @return one part
     */
    public LimitAmounts dividedBy(int parts) {
        return new LimitAmounts(requestsPerSecond / parts, tokensPerSecond / parts, concurrency / parts);
    }
}
