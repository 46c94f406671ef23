package io.lagoonseam.core.placement;

/**
 * A lease that this node holds.
 *
 * @param fencing its fencing number
 * @param validUntilMillis the monotonic time after which it must not be used
 */
public record HeldLease(long fencing, long validUntilMillis) {

    /**
     * Returns how long the lease may still be used.
     *
     * @param nowMillis the monotonic time
     * @return milliseconds, negative after the end
     */
    public long remainingMillis(long nowMillis) {
        return validUntilMillis - nowMillis;
    }
}
