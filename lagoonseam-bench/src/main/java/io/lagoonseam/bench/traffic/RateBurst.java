package io.lagoonseam.bench.traffic;

/**
 * A time in which a class sends more.
 *
 * @param startMillis its start, from the start of the traffic
 * @param endMillis its end
 * @param factor the rate within it as a multiple of the rate outside
 */
public record RateBurst(long startMillis, long endMillis, double factor) {

    /** No burst. */
    public static final RateBurst NONE = new RateBurst(0, 0, 1);

    double factorAt(double millis) {
        return millis >= startMillis && millis < endMillis ? factor : 1;
    }

    double highestFactor() {
        return Math.max(1, factor);
    }
}
