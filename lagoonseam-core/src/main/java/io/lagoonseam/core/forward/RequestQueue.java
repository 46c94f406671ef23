package io.lagoonseam.core.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/**
 * The queue of a service's requests that wait for a free slot, ordered by priority and, within a priority, by the time
 * at which they expire. A request is removed when it has waited so long that it can no longer start in time.
 *
 * @param <T> the type of requests
 */
public final class RequestQueue<T> {

    private final PriorityQueue<Entry<T>> queue = new PriorityQueue<>(
            Comparator.comparingInt((Entry<T> entry) -> entry.priority).thenComparingLong(w -> w.latestStartMillis));

    private record Entry<T>(T request, int priority, long latestStartMillis) {}

    /**
     * Adds a request.
     *
     * @param request the request
     * @param priority its priority; 0 is the most urgent
     * @param latestStartMillis the latest time at which it can start, in milliseconds; it expires then
     */
    public void add(T request, int priority, long latestStartMillis) {
        queue.add(new Entry<>(request, priority, latestStartMillis));
    }

    /**
     * Removes a request whose caller has disconnected.
     *
     * @param request the request
     * @return whether it was queued
     */
    public boolean remove(T request) {
        return queue.removeIf(entry -> entry.request.equals(request));
    }

    /**
     * Offers all requests to the dispatcher, in order. A request that cannot be dispatched does not block those behind
     * it, which may wait for other workers.
     *
     * @param dispatcher dispatches a request and returns true, or returns false if there is no free slot for it
     */
    public void dispatch(Predicate<T> dispatcher) {
        List<Entry<T>> remaining = new ArrayList<>();
        while (!queue.isEmpty()) {
            Entry<T> entry = queue.poll();
            if (!dispatcher.test(entry.request)) {
                remaining.add(entry);
            }
        }
        queue.addAll(remaining);
    }

    /**
     * Removes the requests that have expired.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the expired requests
     */
    public List<T> expire(long nowMillis) {
        List<T> expired = new ArrayList<>();
        queue.removeIf(entry -> {
            boolean hasExpired = entry.latestStartMillis <= nowMillis;
            if (hasExpired) {
                expired.add(entry.request);
            }
            return hasExpired;
        });
        return expired;
    }

    /**
     * Returns the queued requests.
     *
     * @return a copy, in no order
     */
    public List<T> requests() {
        return queue.stream().map(Entry::request).toList();
    }

    /**
     * Returns the number of queued requests.
     *
     * @return the number of requests
     */
    public int size() {
        return queue.size();
    }
}
