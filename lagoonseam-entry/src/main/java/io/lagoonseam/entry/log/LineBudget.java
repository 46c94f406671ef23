package io.lagoonseam.entry.log;

/** A token bucket that limits lines and bytes per second; its capacity is the amount of one second. Not thread-safe. */
final class LineBudget {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double linesPerSecond;
    private final double bytesPerSecond;
    private double availableLines;
    private double availableBytes;
    private long lastRefillNanos;

    LineBudget(double linesPerSecond, double bytesPerSecond, long nowNanos) {
        this.linesPerSecond = linesPerSecond;
        this.bytesPerSecond = bytesPerSecond;
        this.availableLines = linesPerSecond;
        this.availableBytes = bytesPerSecond;
        this.lastRefillNanos = nowNanos;
    }

    /** Acquires one line if the limits of lines and bytes allow it; {@link #recordBytes} then subtracts its length. */
    boolean tryAcquire(long nowNanos) {
        double elapsedSeconds = Math.max(0, nowNanos - lastRefillNanos) / NANOS_PER_SECOND;
        lastRefillNanos = nowNanos;
        availableLines = Math.min(linesPerSecond, availableLines + elapsedSeconds * linesPerSecond);
        availableBytes = Math.min(bytesPerSecond, availableBytes + elapsedSeconds * bytesPerSecond);
        if (availableLines < 1 || availableBytes <= 0) {
            return false;
        }
        availableLines--;
        return true;
    }

    /**
     * Subtracts the length of an acquired line in characters, as an estimate of its bytes; the available bytes may
     * become negative.
     */
    void recordBytes(int lengthChars) {
        availableBytes -= lengthChars;
    }
}
