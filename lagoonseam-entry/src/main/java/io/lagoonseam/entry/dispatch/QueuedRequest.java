package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.routing.RoutingRequest;
import io.lagoonseam.core.routing.WorkerState;
import io.lagoonseam.core.verdict.Refusal;
import java.util.List;

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
     * Takes note of the workers that were weighed. Called with the service's lock held.
     *
     * @param workers the workers that could take the request
     * @param chosen the name of the chosen one
     */
    void weighed(List<WorkerState> workers, String chosen);

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
