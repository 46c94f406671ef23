package io.lagoonseam.core.placement;

/**
 * The times of a lease.
 *
 * @param durationMillis how long a lease lasts after its last renewal
 * @param renewMillis the time between renewals
 * @param observeMillis the time between reads of a candidate
 * @param marginMillis how much earlier a holder stops to use its lease, and how much longer a candidate waits
 */
public record LeaseOptions(long durationMillis, long renewMillis, long observeMillis, long marginMillis) {

    private static final LeaseOptions STANDARD = new LeaseOptions(6_000, 2_000, 1_500, 500);

    /** Checks that a holder can renew in time. */
    public LeaseOptions {
        if (renewMillis + marginMillis >= durationMillis) {
            throw new IllegalArgumentException("a renewal every " + renewMillis + " ms with a margin of " + marginMillis
                    + " ms does not keep a lease of " + durationMillis + " ms");
        }
    }

    /**
     * Returns the times that the daemon uses.
     *
     * @return the standard times
     */
    public static LeaseOptions standard() {
        return STANDARD;
    }
}
