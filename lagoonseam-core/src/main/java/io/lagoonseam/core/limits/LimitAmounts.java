package io.lagoonseam.core.limits;

import io.lagoonseam.core.configuration.Limits;
import java.util.function.DoubleBinaryOperator;

/**
 * Amounts of the three limited quantities.
 *
 * @param requestsPerSecond the rate of requests, per second
 * @param tokensPerSecond the rate of generated tokens, per second
 * @param concurrency the number of requests in flight
 */
public record LimitAmounts(double requestsPerSecond, double tokensPerSecond, double concurrency) {

    /** Zero in all three quantities. */
    public static final LimitAmounts ZERO = new LimitAmounts(0, 0, 0);

    /**
     * Converts the limits of a workspace to amounts.
     *
     * @param limits the limits
     * @return the amounts
     */
    public static LimitAmounts of(Limits limits) {
        return new LimitAmounts(limits.requestsPerSecond(), limits.tokensPerSecond(), limits.concurrency());
    }

    /**
     * Combines each amount with the corresponding one of other amounts.
     *
     * @param other the other amounts
     * @param operator the function that combines two amounts
     * @return the combined amounts
     */
    public LimitAmounts combine(LimitAmounts other, DoubleBinaryOperator operator) {
        return new LimitAmounts(
                operator.applyAsDouble(requestsPerSecond, other.requestsPerSecond),
                operator.applyAsDouble(tokensPerSecond, other.tokensPerSecond),
                operator.applyAsDouble(concurrency, other.concurrency));
    }

    /**
     * Divides each amount by a number of parts.
     *
     * @param parts the number of equal parts, at least 1
     * @return the amounts of one part
     */
    public LimitAmounts dividedBy(int parts) {
        return new LimitAmounts(requestsPerSecond / parts, tokensPerSecond / parts, concurrency / parts);
    }
}
