package io.lagoonseam.core.admission;

import io.lagoonseam.core.configuration.RequestClass;
import io.lagoonseam.core.configuration.ServiceLevel;
import io.lagoonseam.core.configuration.Tier;

/**
 * A request as admission sees it.
 *
 * @param id the request's id
 * @param workspace its workspace
 * @param requestClass its class
 * @param serviceLevel the targets of its class
 * @param arrivalMillis the monotonic time at which it entered the queue
 * @param deadlineMillis the monotonic time by which it must begin
 * @param begun whether an attempt was sent already, so that it is neither shed nor refused any more
 */
public record Ticket(
        String id,
        String workspace,
        RequestClass requestClass,
        ServiceLevel serviceLevel,
        long arrivalMillis,
        long deadlineMillis,
        boolean begun) {

    /**
     * Creates the ticket of a request that was not sent yet.
     *
     * @param id the request's id
     * @param workspace its workspace
     * @param requestClass its class
     * @param serviceLevel the targets of its class
     * @param arrivalMillis the monotonic time of its arrival
     * @param deadlineMillis the monotonic time by which it must begin
     */
    public Ticket(
            String id,
            String workspace,
            RequestClass requestClass,
            ServiceLevel serviceLevel,
            long arrivalMillis,
            long deadlineMillis) {
        this(id, workspace, requestClass, serviceLevel, arrivalMillis, deadlineMillis, false);
    }

    /**
     * Returns the ticket with which a request whose attempt failed is queued again.
     *
     * @param nowMillis the monotonic time
     * @return the same request, begun, with a wait that starts now
     */
    public Ticket queuedAgain(long nowMillis) {
        return new Ticket(id, workspace, requestClass, serviceLevel, nowMillis, deadlineMillis, true);
    }

    /**
     * Returns whether the request is of the urgent tier.
     *
     * @return true if so
     */
    public boolean urgent() {
        return requestClass.tier() == Tier.URGENT;
    }

    /**
     * Returns when the request is given up while it still waits: at its deadline and, below the urgent tier, at the
     * longest wait of its class if that comes first. A request that was begun is not given up.
     *
     * @return the monotonic time
     */
    public long expiryMillis() {
        if (begun) {
            return Long.MAX_VALUE;
        }
        return urgent() ? deadlineMillis : Math.min(deadlineMillis, arrivalMillis + serviceLevel.longestWaitMillis());
    }
}
