package io.lagoonseam.core.time;

/** Reads the system clocks of the Java platform. */
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
