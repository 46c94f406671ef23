package io.lagoonseam.core.time;

/**
 * Detects that this process did not run for a while, or that its VM was suspended, from the clocks between two checks.
 * A wall clock that was set is taken for a suspension. Not thread-safe.
 */
public final class StallDetector {

    private final TimeSource time;
    private final long maxStallMillis;
    private TimeReading last;

    /**
     * Creates a detector that has not been checked.
     *
     * @param time the clocks
     * @param maxStallMillis the longest time between two checks that is no stall, in milliseconds
     */
    public StallDetector(TimeSource time, long maxStallMillis) {
        this.time = time;
        this.maxStallMillis = maxStallMillis;
    }

    /**
     * Checks the clocks.
     *
     * @return whether there was a stall since the last check; false on the first check
     */
    public boolean check() {
        TimeReading before = last;
        last = TimeReading.now(time);
        return before != null
                && (last.monotonicMillis() - before.monotonicMillis() > maxStallMillis
                        || Math.abs(last.wallMillis() - before.wallMillis()) > maxStallMillis);
    }
}
