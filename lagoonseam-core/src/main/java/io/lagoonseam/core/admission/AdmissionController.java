package io.lagoonseam.core.admission;

import java.util.List;
import java.util.Optional;

/** The queues of one service. Not thread-safe: the caller holds the service's lock. */
public interface AdmissionController {

    /**
     * Offers an arriving request.
     *
     * @param ticket the request, whose arrival is the present
     * @return whether it waits, perhaps in the place of another one, or is refused
     */
    OfferResult offer(Ticket ticket);

    /**
     * Removes the request to serve next.
     *
     * @param nowMillis the monotonic time
     * @return the request, or empty if none waits
     */
    Optional<Ticket> poll(long nowMillis);

    /**
     * Removes the requests that are given up, each to be answered at once.
     *
     * @param nowMillis the monotonic time
     * @return the removed requests
     */
    List<ShedTicket> expire(long nowMillis);

    /**
     * Removes a request whose caller has gone.
     *
     * @param id the request's id
     * @return whether it was waiting
     */
    boolean cancel(String id);

    /**
     * Returns the number of waiting requests.
     *
     * @return the number over all classes
     */
    int size();

    /**
     * Returns whether a request of a tier below urgent holds a place that urgent requests may take.
     *
     * @return true if one could give its place to an urgent request
     */
    default boolean hasPlaceForUrgent() {
        return false;
    }

    /**
     * Corrects the estimate of a started request by what has come of its answer.
     *
     * @param id the request's id
     * @param tokens the tokens of its answer so far
     */
    default void progressed(String id, int tokens) {
        // Only controllers that estimate answer lengths use it.
    }

    /**
     * Ends a started request.
     *
     * @param id the request's id
     * @param tokens the tokens of its answer
     * @param whole whether the answer is whole, so that its length is learnt
     * @param nowMillis the monotonic time
     */
    default void finished(String id, int tokens, boolean whole, long nowMillis) {
        // Only controllers that estimate answer lengths use it.
    }
}
