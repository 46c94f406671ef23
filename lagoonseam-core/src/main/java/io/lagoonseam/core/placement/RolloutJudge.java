package io.lagoonseam.core.placement;

/** Compares the attainment of a new version with that of the version before it. Not thread-safe. */
public final class RolloutJudge {

    private final int leastRequests;
    private final double tolerance;
    private long canaryRequests;
    private long canaryAttained;
    private long stableRequests;
    private long stableAttained;

    /**
     * Creates a judge that has seen nothing.
     *
     * @param leastRequests the requests of each version before it decides
     * @param tolerance by how much the new version's attainment may be lower, from 0 to 1
     */
    public RolloutJudge(int leastRequests, double tolerance) {
        this.leastRequests = leastRequests;
        this.tolerance = tolerance;
    }

    /**
     * Counts a request.
     *
     * @param canary whether the new version served it
     * @param attained whether its targets were met
     */
    public void record(boolean canary, boolean attained) {
        if (canary) {
            canaryRequests++;
            canaryAttained += attained ? 1 : 0;
        } else {
            stableRequests++;
            stableAttained += attained ? 1 : 0;
        }
    }

    /**
     * Decides. A new version that is clearly worse is stopped before all requests have been seen.
     *
     * @return what the rollout does next
     */
    public RolloutDecision decide() {
        if (stableRequests < leastRequests || canaryRequests == 0) {
            return RolloutDecision.OBSERVE;
        }
        double stable = (double) stableAttained / stableRequests;
        double bestPossible = (double) (canaryAttained + Math.max(0, leastRequests - canaryRequests))
                / Math.max(leastRequests, canaryRequests);
        if (bestPossible < stable - tolerance) {
            return RolloutDecision.ROLL_BACK;
        }
        return canaryRequests < leastRequests ? RolloutDecision.OBSERVE : RolloutDecision.PROMOTE;
    }
}
