package io.lagoonseam.core.admission;

import io.lagoonseam.core.verdict.Refusal;

/** What admission says to an arriving request. */
public sealed interface OfferResult permits OfferResult.Queued, OfferResult.Refused {

    /** The request waits for its turn. */
    record Queued() implements OfferResult {}

    /**
     * The request was not taken.
     *
     * @param refusal the final answer
     */
    record Refused(Refusal refusal) implements OfferResult {}
}
