package io.lagoonseam.core.duty;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** Counts by workspace in windows of true time. The latest windows are kept. Not thread-safe. */
public final class WindowCounts {

    private final NavigableMap<Long, Map<String, Long>> windows = new TreeMap<>();
    private final long windowMillis;

    /**
     * Creates empty counts.
     *
     * @param windowMillis the length of a window, in milliseconds
     */
    public WindowCounts(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /** Returns the number of the window that a time falls into. */
    public long window(long trueMillis) {
        return Math.floorDiv(trueMillis, windowMillis);
    }

    /**
     * Counts one more.
     *
     * @param workspace the workspace
     * @param trueMillis the true time, in milliseconds since 1970
     */
    public void add(String workspace, long trueMillis) {
        windows.computeIfAbsent(window(trueMillis), key -> new HashMap<>()).merge(workspace, 1L, Long::sum);
        while (windows.size() > DutyRecord.MAX_DECIDED) {
            windows.pollFirstEntry();
        }
    }

    /**
     * Returns the counts from a window on.
     *
     * @param first the number of the first window
     * @return a view of the counts by window and workspace
     */
    public NavigableMap<Long, Map<String, Long>> from(long first) {
        return windows.tailMap(first, true);
    }
}
