package io.lagoonseam.core.placement;

/** What a rollout does next. */
public enum RolloutDecision {
    /** Too little has been seen. */
    OBSERVE,
    /** The new version is as good as the one before; it may go everywhere. */
    PROMOTE,
    /** The new version falls behind; the one before returns. */
    ROLL_BACK
}
