package io.lagoonseam.core.placement;

import io.lagoonseam.core.forward.Lane;
import java.util.EnumMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** Counts the requests that wait at a home, by lane and priority. Not thread-safe. */
final class QueueLoad {

    private final Map<Lane, NavigableMap<Integer, Waiting>> byLane = new EnumMap<>(Lane.class);

    private record Waiting(int requests, long tokens) {

        Waiting plus(Waiting other) {
            return new Waiting(requests + other.requests, tokens + other.tokens);
        }
    }

    QueueLoad() {
        for (Lane lane : Lane.values()) {
            byLane.put(lane, new TreeMap<>());
        }
    }

    /** Records that a request waits, with the tokens that have to be read for it alone. */
    void add(Lane lane, int priority, long tokens) {
        byLane.get(lane).merge(priority, new Waiting(1, tokens), Waiting::plus);
    }

    /** Records that a request no longer waits. */
    void remove(Lane lane, int priority, long tokens) {
        byLane.get(lane).merge(priority, new Waiting(-1, -tokens), Waiting::plus);
    }

    /** Returns the number of requests that come before a new one. */
    int requestsBefore(Lane lane, int priority) {
        return byLane.get(lane).headMap(priority, true).values().stream()
                .mapToInt(Waiting::requests)
                .sum();
    }

    /** Returns the tokens that are read before a new request. */
    long tokensBefore(Lane lane, int priority) {
        return byLane.get(lane).headMap(priority, true).values().stream()
                .mapToLong(Waiting::tokens)
                .sum();
    }
}
