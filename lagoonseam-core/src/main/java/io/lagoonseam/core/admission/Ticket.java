package io.lagoonseam.core.admission;

import io.lagoonseam.core.configuration.RequestClass;
import io.lagoonseam.core.configuration.ServiceLevel;
import io.lagoonseam.core.configuration.Tier;

/**
 * The properties of a request that admission control uses.
 *
 * @param id the request's id
 * @param workspace the name of its workspace
 * @param requestClass its class
 * @param serviceLevel the service level of its class
 * @param arrivalMillis the monotonic time in ms at which it was last queued: on arrival or for a retry
 * @param deadlineMillis the monotonic time in ms by which it must be started
 * @param attempted whether an attempt was sent before; if so, it is neither shed nor refused
 */
public record Ticket(
        String id,
        String workspace,
        RequestClass requestClass,
        ServiceLevel serviceLevel,
        long arrivalMillis,
        long deadlineMillis,
        boolean attempted) {

    /**
     * Creates the ticket of a request of which no attempt was sent.
     *
     * @param id the request's id
     * @param workspace the name of its workspace
     * @param requestClass its class
     * @param serviceLevel the service level of its class
     * @param arrivalMillis the monotonic time in ms of its arrival
     * @param deadlineMillis the monotonic time in ms by which it must be started
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
     * Returns the ticket with which this request is queued for a retry after a failed attempt.
     *
     * @param nowMillis the current monotonic time in ms
     * @return a ticket marked as attempted, whose wait starts at {@code nowMillis}
     */
    public Ticket requeued(long nowMillis) {
        return new Ticket(id, workspace, requestClass, serviceLevel, nowMillis, deadlineMillis, true);
    }

    /**
     * Returns whether the request is of the urgent tier.
     *
     * @return true for {@link Tier#URGENT}
     */
    public boolean urgent() {
        return requestClass.tier() == Tier.URGENT;
    }

    /**
     * Returns the time at which the request expires in the queue: its deadline or, below the urgent tier, the end of
     * the longest wait of its class if that is earlier. A request of which an attempt was sent does not expire.
     *
     * @return the monotonic time in ms, {@link Long#MAX_VALUE} if it does not expire
     */
    public long expiryMillis() {
        if (attempted) {
            return Long.MAX_VALUE;
        }
        return urgent() ? deadlineMillis : Math.min(deadlineMillis, arrivalMillis + serviceLevel.longestWaitMillis());
    }
}
