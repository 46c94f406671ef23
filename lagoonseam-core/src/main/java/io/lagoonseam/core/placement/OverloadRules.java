package io.lagoonseam.core.placement;

/**
 * What a home does about more work than its workers can do.
 *
 * @param keepsEnds whether a prompt is held back from workers whose streams would not end in time because of it
 * @param boundsScans whether a pass over the queue, and the work of an arrival, is bounded
 */
public record OverloadRules(boolean keepsEnds, boolean boundsScans) {

    /** All rules. */
    public static final OverloadRules ALL = new OverloadRules(true, true);

    /** No rule: each request is placed as soon as its first event can be expected in time. */
    public static final OverloadRules NONE = new OverloadRules(false, false);
}
