package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.routing.RoutingRequest;
import io.lagoonseam.core.routing.WorkerState;
import io.lagoonseam.core.verdict.Refusal;
import java.util.List;

/**
 * A request that waits for a worker. Its methods are called on a decision thread, without any lock held unless stated
 * otherwise.
 */
interface QueuedRequest {

    /**
     * Returns the admission ticket of the request.
     *
     * @return the ticket created at its arrival, also after the request was requeued for a retry
     */
    Ticket ticket();

    /**
     * Returns whether an attempt was already sent. A request that is queued again after an attempt is not shed, refused
     * admission or expired, but is refused when its service is closed.
     *
     * @return true once a byte may have reached an upstream
     */
    boolean wasSent();

    /**
     * Returns the properties that routing needs.
     *
     * @return the tier, the prompt prefix and the workers on which attempts failed
     */
    RoutingRequest routing();

    /**
     * Records the selection of a worker. Called with the service's lock held.
     *
     * @param workers the candidate workers with their load
     * @param chosen the name of the selected worker
     */
    void workerSelected(List<WorkerState> workers, String chosen);

    /**
     * Starts an attempt. The request holds the worker's slot until it releases it.
     *
     * @param worker the selected worker
     */
    void start(Upstream worker);

    /**
     * Ends the request with a refusal.
     *
     * @param refusal the final answer; its verdict becomes may_have_run if an attempt was sent
     */
    void refuse(Refusal refusal);
}
