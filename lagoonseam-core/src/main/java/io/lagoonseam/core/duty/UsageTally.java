package io.lagoonseam.core.duty;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

/**
 * What the holder knows of the counts of all nodes. Counts of one process only grow, so that reports which arrive twice
 * or late do no harm. Not thread-safe.
 */
public final class UsageTally {

    private final NavigableMap<Long, Map<String, Map<String, Long>>> byWindow = new TreeMap<>();
    private final NavigableMap<Long, Set<String>> closedBy = new TreeMap<>();

    /**
     * Records a report.
     *
     * @param incarnation identifies the process that reports
     * @param counts its counts by window and workspace
     * @param openWindow the window in which the report was made; those before it are complete
     */
    public void record(String incarnation, Map<Long, Map<String, Long>> counts, long openWindow) {
        counts.forEach((window, byWorkspace) -> {
            Map<String, Long> known = byWindow.computeIfAbsent(window, key -> new HashMap<>())
                    .computeIfAbsent(incarnation, key -> new HashMap<>());
            byWorkspace.forEach((workspace, count) -> known.merge(workspace, count, Math::max));
        });
        closedBy.computeIfAbsent(openWindow - 1, key -> new HashSet<>()).add(incarnation);
    }

    /** Returns whether a process has reported since a window ended. */
    public boolean complete(long window, String incarnation) {
        return closedBy.tailMap(window, true).values().stream().anyMatch(closed -> closed.contains(incarnation));
    }

    /** Returns the sums of a window by workspace. */
    public Map<String, Long> sum(long window) {
        Map<String, Long> sums = new TreeMap<>();
        byWindow.getOrDefault(window, Map.of())
                .values()
                .forEach(counts -> counts.forEach((workspace, count) -> sums.merge(workspace, count, Long::sum)));
        return sums;
    }

    /** Forgets the windows before one. */
    public void forgetBefore(long window) {
        byWindow.headMap(window, false).clear();
        closedBy.headMap(window, false).clear();
    }
}
