package io.lagoonseam.core.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/**
 * The requests of one service that wait for a place, the most urgent first and of equally urgent ones the one whose
 * time ends first. A request leaves when it has waited for so long that it cannot be begun in time.
 *
 * @param <T> the type of requests
 */
public final class WaitingLine<T> {

    private final PriorityQueue<Waiting<T>> line = new PriorityQueue<>(
            Comparator.comparingInt((Waiting<T> waiting) -> waiting.priority).thenComparingLong(w -> w.latestMillis));

    private record Waiting<T>(T request, int priority, long latestMillis) {}

    /**
     * Adds a request.
     *
     * @param request the request
     * @param priority its rank, 0 is the most urgent
     * @param latestMillis the time at which it is given up
     */
    public void add(T request, int priority, long latestMillis) {
        line.add(new Waiting<>(request, priority, latestMillis));
    }

    /**
     * Removes a request whose caller has gone.
     *
     * @param request the request
     * @return whether it waited
     */
    public boolean remove(T request) {
        return line.removeIf(waiting -> waiting.request.equals(request));
    }

    /**
     * Offers all requests in their order; one that finds no place does not keep back those behind it, which may wait
     * for other workers.
     *
     * @param place takes a request if there is a place for it
     */
    public void offer(Predicate<T> place) {
        List<Waiting<T>> kept = new ArrayList<>();
        while (!line.isEmpty()) {
            Waiting<T> waiting = line.poll();
            if (!place.test(waiting.request)) {
                kept.add(waiting);
            }
        }
        line.addAll(kept);
    }

    /**
     * Takes out the requests that have waited for too long.
     *
     * @param nowMillis the time
     * @return those requests
     */
    public List<T> expire(long nowMillis) {
        List<T> expired = new ArrayList<>();
        line.removeIf(waiting -> {
            boolean late = waiting.latestMillis <= nowMillis;
            if (late) {
                expired.add(waiting.request);
            }
            return late;
        });
        return expired;
    }

    /**
     * Returns the requests that wait.
     *
     * @return a count
     */
    public int size() {
        return line.size();
    }
}
