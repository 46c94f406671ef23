package io.lagoonseam.core.placement;

/**
 * A lease as it stands on the platform.
 *
 * @param holder the node that holds it, empty if it was released
 * @param fencing the fencing number, which rises with each new holder and never falls
 * @param token the writer's own token, by which a lost answer is settled
 * @param durationMillis how long the lease lasts after its last renewal
 */
public record LeaseRecord(String holder, long fencing, String token, long durationMillis) {

    /**
     * Returns whether nobody holds the lease.
     *
     * @return true after a release
     */
    public boolean isReleased() {
        return holder.isEmpty();
    }
}
