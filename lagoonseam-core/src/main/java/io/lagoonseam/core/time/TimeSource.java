package io.lagoonseam.core.time;

import java.util.concurrent.TimeUnit;

/** Gives the time to decisions. */
public interface TimeSource {

    /**
     * Returns the monotonic time, for durations and deadlines.
     *
     * @return nanoseconds since an arbitrary origin
     */
    long monotonicNanos();

    /**
     * Returns the wall-clock time, for records only.
     *
     * @return milliseconds since the epoch
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
