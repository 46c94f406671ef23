package io.lagoonseam.core.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * The latest report of each peer about one worker, for as long as it holds.
 *
 * @param <T> the type of reports
 */
final class PeerReports<T> {

    /**
     * How long a peer's report holds, in milliseconds: some rounds of the exchange, so that a lost one does not count.
     */
    private static final long VALID_MILLIS = 1_500;

    private final Map<String, Report<T>> reports = new HashMap<>();

    private record Report<T>(T value, long atMillis) {}

    void put(String peer, T value, long nowMillis) {
        reports.put(peer, new Report<>(value, nowMillis));
    }

    void remove(String peer) {
        reports.remove(peer);
    }

    /** Adds up a part of all reports that hold, and forgets the others. */
    long sum(long nowMillis, ToLongFunction<T> part) {
        reports.values().removeIf(report -> nowMillis - report.atMillis > VALID_MILLIS);
        long sum = 0;
        for (Report<T> report : reports.values()) {
            sum += part.applyAsLong(report.value);
        }
        return sum;
    }
}
