package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.routing.RoutingRequest;
import io.lagoonseam.core.verdict.Refusal;

/** A request that waits for a worker. Its methods are called on a decision thread without any lock held. */
interface QueuedRequest {

    /**
     * Returns the request as admission sees it.
     *
     * @return the ticket
     */
    Ticket ticket();

    /**
     * Returns whether an attempt was sent already, so that the request is neither shed nor refused any more.
     *
     * @return true once a byte may have reached an upstream
     */
    boolean wasSent();

    /**
     * Returns the request as routing sees it.
     *
     * @return its tier, its prompt and the workers that failed it already
     */
    RoutingRequest routing();

    /**
     * Starts an attempt; the worker is held until it is released.
     *
     * @param worker the chosen worker
     */
    void start(Upstream worker);

    /**
     * Ends the request without running it.
     *
     * @param refusal the final answer
     */
    void refuse(Refusal refusal);
}
