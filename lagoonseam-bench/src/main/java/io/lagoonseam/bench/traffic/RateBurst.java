package io.lagoonseam.bench.traffic;

/**
 * An interval in which the arrival rate of a class is multiplied.
 *
 * @param startMillis the start of the interval in milliseconds after the start of the traffic, inclusive
 * @param endMillis the end of the interval in milliseconds after the start of the traffic, exclusive
 * @param factor the rate within the interval as a multiple of the rate outside
 */
public record RateBurst(long startMillis, long endMillis, double factor) {

    /** An empty interval, for a constant arrival rate. */
    public static final RateBurst NONE = new RateBurst(0, 0, 1);

    double factorAt(double millis) {
        return millis >= startMillis && millis < endMillis ? factor : 1;
    }

    double maxFactor() {
        return Math.max(1, factor);
    }
}
