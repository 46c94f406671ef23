package io.lagoonseam.core.time;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A virtual clock that moves only when told to. */
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
     * Moves the clock forward.
     *
     * @param millis milliseconds, not negative
     */
    public void advanceMillis(long millis) {
        if (millis < 0) {
            throw new IllegalArgumentException("millis is negative: " + millis);
        }
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }
}
