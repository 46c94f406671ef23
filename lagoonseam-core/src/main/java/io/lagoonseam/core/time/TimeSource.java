package io.lagoonseam.core.time;

import java.util.concurrent.TimeUnit;

/** A source of monotonic and wall-clock time. */
public interface TimeSource {

    /**
     * Returns the monotonic time, for durations and deadlines.
     *
     * @return nanoseconds since an arbitrary origin
     */
    long monotonicNanos();

    /**
     * Returns the wall-clock time. Use it only for timestamps in records.
     *
     * @return milliseconds since the Unix epoch
     */
    long wallMillis();

    /**
     * Returns the monotonic time in milliseconds.
     *
     * @return milliseconds since the origin of {@link #monotonicNanos()}
     */
    default long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(monotonicNanos());
    }
}
