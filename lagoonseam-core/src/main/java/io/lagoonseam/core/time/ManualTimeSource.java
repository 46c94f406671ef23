package io.lagoonseam.core.time;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A virtual clock that starts at 0 and advances only by {@link #advanceMillis}. Thread-safe. */
public final class ManualTimeSource implements TimeSource {

    private final AtomicLong nanos = new AtomicLong();

    @Override
    public long monotonicNanos() {
        return nanos.get();
    }

    @Override
    public long wallMillis() {
        return TimeUnit.NANOSECONDS.toMillis(nanos.get());
    }

    /**
     * Advances the clock.
     *
     * @param millis the time to advance in ms, not negative
     * @throws IllegalArgumentException if the time is negative
     */
    public void advanceMillis(long millis) {
        if (millis < 0) {
            throw new IllegalArgumentException("millis must not be negative but was " + millis);
        }
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }
}
