package io.lagoonseam.core.admission;

import io.lagoonseam.core.verdict.Refusal;
import java.util.Optional;

/** The outcome of offering an arriving request to admission control. */
public sealed interface OfferResult permits OfferResult.Queued, OfferResult.Refused {

    /**
     * The request was queued.
     *
     * @param shed the queued request that was shed to make room for it, or empty if none was
     */
    record Queued(Optional<RefusedTicket> shed) implements OfferResult {

        /** Creates the result of a request that was queued without shedding another one. */
        public Queued() {
            this(Optional.empty());
        }
    }

    /**
     * The request was refused.
     *
     * @param refusal the final answer to the caller
     */
    record Refused(Refusal refusal) implements OfferResult {}
}
