package io.lagoonseam.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Tracks which homes respond to this node and selects the first that does. A home that did not respond in time is left
 * out until it has answered a probe, and is probed at growing intervals. Not thread-safe.
 */
public final class HomeAvailability {

    private static final long INITIAL_PROBE_INTERVAL_MILLIS = 300;
    private static final long MAX_PROBE_INTERVAL_MILLIS = 4_000;

    /** The number of candidates of the ranking that are tried; if all of them are silent, the cause is likely here. */
    private static final int MAX_TRIED = 3;

    private final Map<String, Silence> silences = new HashMap<>();

    private record Silence(long probeAtMillis, long intervalMillis) {}

    /**
     * Selects the home.
     *
     * @param ranking the candidates, best first
     * @return the first of the tried candidates that is not silent, or empty if all are
     */
    public Optional<String> select(List<String> ranking) {
        for (int index = 0; index < Math.min(MAX_TRIED, ranking.size()); index++) {
            if (!silences.containsKey(ranking.get(index))) {
                return Optional.of(ranking.get(index));
            }
        }
        return Optional.empty();
    }

    /**
     * Records that a node did not respond in time, or does not act as a home at present.
     *
     * @param node the id of the node
     * @param nowMillis the current time, in milliseconds
     */
    public void recordSilence(String node, long nowMillis) {
        Silence before = silences.get(node);
        long interval = before == null
                ? INITIAL_PROBE_INTERVAL_MILLIS
                : Math.min(MAX_PROBE_INTERVAL_MILLIS, 2 * before.intervalMillis());
        silences.put(node, new Silence(nowMillis + interval, interval));
    }

    /**
     * Records that a node responded.
     *
     * @param node the id of the node
     * @return whether it had been silent
     */
    public boolean recordAnswer(String node) {
        return silences.remove(node) != null;
    }

    /**
     * Returns the candidates to probe now: silent ones whose interval has passed. Their next interval begins.
     *
     * @param ranking the candidates, best first
     * @param nowMillis the current time, in milliseconds
     * @return their ids
     */
    public List<String> dueProbes(List<String> ranking, long nowMillis) {
        List<String> due = ranking.stream()
                .limit(MAX_TRIED)
                .filter(node -> silences.containsKey(node) && silences.get(node).probeAtMillis() <= nowMillis)
                .toList();
        due.forEach(node -> recordSilence(node, nowMillis));
        return due;
    }
}
