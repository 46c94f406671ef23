package io.lagoonseam.core.placement;

/** What came of an order. */
public sealed interface OrderResult permits OrderResult.Accepted, OrderResult.Fenced, OrderResult.Failed {

    /**
     * The engine took the order.
     *
     * @param state its state after it
     */
    record Accepted(EngineState state) implements OrderResult {}

    /** The engine has seen a higher fencing number. */
    record Fenced() implements OrderResult {}

    /**
     * The engine did not answer; the order may have been taken.
     *
     * @param reason why, in words
     */
    record Failed(String reason) implements OrderResult {}
}
