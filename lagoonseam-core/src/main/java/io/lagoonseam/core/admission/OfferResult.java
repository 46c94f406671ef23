package io.lagoonseam.core.admission;

import io.lagoonseam.core.verdict.Refusal;
import java.util.Optional;

/** What admission says to an arriving request. */
public sealed interface OfferResult permits OfferResult.Queued, OfferResult.Refused {

    /**
     * The request waits for its turn.
     *
     * @param displaced the queued request that lost its place to it, if one did
     */
    record Queued(Optional<ShedTicket> displaced) implements OfferResult {

        /** Creates the result of a request that found a free place. */
        public Queued() {
            this(Optional.empty());
        }
    }

    /**
     * The request was not taken.
     *
     * @param refusal the final answer
     */
    record Refused(Refusal refusal) implements OfferResult {}
}
