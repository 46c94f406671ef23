package io.lagoonseam.core.duty;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates true time as the median of the clocks of many nodes. Answers clocks that are set: a few of them move
 * nothing. Not thread-safe.
 */
public final class ClockMedian {

    /** How long a reading of another clock counts, in milliseconds. */
    private static final long VALID_MILLIS = 10_000;

    private final Map<String, Reading> readings = new HashMap<>();

    private record Reading(long offsetMillis, long atMillis) {}

    /**
     * Records the clock of a node.
     *
     * @param node the id of the node
     * @param wallMillis its wall clock, in milliseconds since 1970
     * @param monotonicMillis the monotonic clock of this node at that moment, in milliseconds
     */
    public void record(String node, long wallMillis, long monotonicMillis) {
        readings.put(node, new Reading(wallMillis - monotonicMillis, monotonicMillis));
    }

    /** Returns the number of other clocks that were read. */
    public int size() {
        return readings.size();
    }

    /** Forgets all readings: the monotonic clock has not counted some time. */
    public void clear() {
        readings.clear();
    }

    /**
     * Returns the true time.
     *
     * @param wallMillis the wall clock of this node, which counts like the others
     * @param monotonicMillis its monotonic clock, in milliseconds
     * @return milliseconds since 1970
     */
    public long trueMillis(long wallMillis, long monotonicMillis) {
        readings.values().removeIf(reading -> monotonicMillis - reading.atMillis > VALID_MILLIS);
        long[] offsets = new long[readings.size() + 1];
        int index = 0;
        for (Reading reading : readings.values()) {
            offsets[index] = reading.offsetMillis;
            index++;
        }
        offsets[index] = wallMillis - monotonicMillis;
        Arrays.sort(offsets);
        return monotonicMillis + offsets[offsets.length / 2];
    }
}
