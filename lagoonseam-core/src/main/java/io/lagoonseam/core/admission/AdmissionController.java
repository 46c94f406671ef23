package io.lagoonseam.core.admission;

import java.util.List;
import java.util.Optional;

/** Controls the admission of requests to one service. Not thread-safe: callers hold the lock of the service. */
public interface AdmissionController {

    /**
     * Offers an arriving request.
     *
     * @param ticket the request; its arrival time must be the current time
     * @return whether it was queued, possibly by shedding another request, or refused
     */
    OfferResult offer(Ticket ticket);

    /**
     * Removes the request to serve next.
     *
     * @param nowMillis the current monotonic time in ms
     * @return the request, or empty if no request is waiting
     */
    Optional<Ticket> poll(long nowMillis);

    /**
     * Removes the requests whose time limit in the queue has passed. The caller must answer each of them at once.
     *
     * @param nowMillis the current monotonic time in ms
     * @return the removed requests with their refusals
     */
    List<RefusedTicket> expire(long nowMillis);

    /**
     * Removes a request whose caller has disconnected.
     *
     * @param id the request's id
     * @return whether it was waiting
     */
    boolean cancel(String id);

    /**
     * Returns the number of waiting requests.
     *
     * @return the sum over all classes
     */
    int size();

    /**
     * Returns whether a waiting request of a tier below urgent may be shed to make room for an urgent one.
     *
     * @return true if there is such a request
     */
    default boolean canShedForUrgent() {
        return false;
    }

    /**
     * Updates the cost estimate of a started request from the part of its answer received so far.
     *
     * @param id the request's id
     * @param tokens the number of tokens received so far
     */
    default void progressed(String id, int tokens) {
        // Needed only by controllers that estimate answer lengths.
    }

    /**
     * Records the end of a started request.
     *
     * @param id the request's id
     * @param tokens the number of tokens of its answer
     * @param complete whether the answer is complete; only the lengths of complete answers enter the estimates
     * @param nowMillis the current monotonic time in ms
     */
    default void finished(String id, int tokens, boolean complete, long nowMillis) {
        // Needed only by controllers that estimate answer lengths.
    }
}
