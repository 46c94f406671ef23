package io.lagoonseam.core.time;

/**
 * A point in time on both clocks. The monotonic clock may not count the time for which a VM is suspended, the wall
 * clock does; the wall clock may be set, the monotonic clock is not.
 *
 * @param monotonicMillis the reading of the monotonic clock, in milliseconds
 * @param wallMillis the reading of the wall clock, in milliseconds
 */
public record TimeReading(long monotonicMillis, long wallMillis) {

    /**
     * Reads both clocks.
     *
     * @param time the clocks
     * @return the current time
     */
    public static TimeReading now(TimeSource time) {
        return new TimeReading(time.monotonicMillis(), time.wallMillis());
    }

    /**
     * Returns the longest time that may have passed since this reading.
     *
     * @param time the clocks
     * @return the larger of the times that the two clocks counted, in milliseconds
     */
    public long maxAgeMillis(TimeSource time) {
        return Math.max(time.monotonicMillis() - monotonicMillis, time.wallMillis() - wallMillis);
    }
}
