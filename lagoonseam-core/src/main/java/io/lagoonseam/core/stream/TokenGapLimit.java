package io.lagoonseam.core.stream;

import java.util.concurrent.atomic.AtomicLong;

/** The longest time between two tokens before a stream counts as silent, learnt from the gaps that are usual. */
public final class TokenGapLimit {

    private static final double GAP_FACTOR = 12;
    private static final long MIN_LIMIT_MILLIS = 250;
    private static final double SAMPLE_WEIGHT = 0.02;
    private static final double NOT_LEARNT = 0;

    private final AtomicLong meanGapBits = new AtomicLong(Double.doubleToLongBits(NOT_LEARNT));

    /**
     * Learns from one gap.
     *
     * @param gapMillis the mean time between tokens over some tokens of one stream
     */
    public void observe(double gapMillis) {
        meanGapBits.updateAndGet(bits -> Double.doubleToLongBits(learn(Double.longBitsToDouble(bits), gapMillis)));
    }

    private static double learn(double mean, double gapMillis) {
        return mean == NOT_LEARNT ? gapMillis : mean + SAMPLE_WEIGHT * (gapMillis - mean);
    }

    /**
     * Returns the limit.
     *
     * @param silenceMillis the limit of the file set, which is never exceeded and holds until gaps are known
     * @return milliseconds
     */
    public long limitMillis(long silenceMillis) {
        double mean = Double.longBitsToDouble(meanGapBits.get());
        if (mean == NOT_LEARNT) {
            return silenceMillis;
        }
        return Math.min(silenceMillis, Math.max(MIN_LIMIT_MILLIS, Math.round(GAP_FACTOR * mean)));
    }
}
