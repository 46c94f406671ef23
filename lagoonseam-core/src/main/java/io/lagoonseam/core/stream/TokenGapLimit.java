package io.lagoonseam.core.stream;

import java.util.concurrent.atomic.AtomicLong;

/** Adaptive idle timeout of a token stream, derived from a moving average of the time between tokens. Thread-safe. */
public final class TokenGapLimit {

    /** Ratio of the timeout to the mean gap. */
    private static final double GAP_FACTOR = 12;

    /** Lower bound of the timeout, which tolerates short pauses on fast streams. */
    private static final long MIN_TIMEOUT_MILLIS = 250;

    private static final double SAMPLE_WEIGHT = 0.02;

    /** Mean gap as long as there is no sample. */
    private static final double NO_SAMPLE = 0;

    private final AtomicLong meanGapBits = new AtomicLong(Double.doubleToLongBits(NO_SAMPLE));

    /**
     * Adds a sample to the moving average.
     *
     * @param gapMillis the mean time in milliseconds between consecutive tokens over a section of one stream
     */
    public void observe(double gapMillis) {
        meanGapBits.updateAndGet(bits -> Double.doubleToLongBits(average(Double.longBitsToDouble(bits), gapMillis)));
    }

    private static double average(double mean, double gapMillis) {
        return mean == NO_SAMPLE ? gapMillis : mean + SAMPLE_WEIGHT * (gapMillis - mean);
    }

    /**
     * Returns the longest time between two tokens before a stream is considered unresponsive.
     *
     * @param maxMillis the timeout configured in the file set, which is the upper bound and applies until there is a
     *     sample
     * @return the timeout in milliseconds
     */
    public long limitMillis(long maxMillis) {
        double mean = Double.longBitsToDouble(meanGapBits.get());
        if (mean == NO_SAMPLE) {
            return maxMillis;
        }
        return Math.min(maxMillis, Math.max(MIN_TIMEOUT_MILLIS, Math.round(GAP_FACTOR * mean)));
    }
}
