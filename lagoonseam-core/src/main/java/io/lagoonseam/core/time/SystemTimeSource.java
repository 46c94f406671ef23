package io.lagoonseam.core.time;

/** Reads the clocks of the machine. */
public final class SystemTimeSource implements TimeSource {

    @Override
    public long monotonicNanos() {
        return System.nanoTime();
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }
}
