package io.lagoonseam.core.admission;

import java.util.List;
import java.util.Optional;

/** The queues of one service. Not thread-safe: the caller holds the service's lock. */
public interface AdmissionController {

    /**
     * Offers an arriving request.
     *
     * @param ticket the request
     * @return whether it waits or is refused
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
     * Removes the requests whose deadline has passed, each to be answered at once.
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
}
