package io.lagoonseam.core.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * The latest report of each peer about one worker, such as its load or the outcomes of attempts. A report expires after
 * {@link #VALID_MILLIS}.
 *
 * @param <T> the type of reports
 */
final class PeerReports<T> {

    /**
     * How long a report is valid, in milliseconds: several rounds of the forward state exchange, so that the loss of
     * one message has no effect.
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

    /** Sums a value over all valid reports and removes the expired ones. */
    long sum(long nowMillis, ToLongFunction<T> value) {
        reports.values().removeIf(report -> nowMillis - report.atMillis > VALID_MILLIS);
        long sum = 0;
        for (Report<T> report : reports.values()) {
            sum += value.applyAsLong(report.value);
        }
        return sum;
    }
}
