package io.lagoonseam.core.membership;

/** Presumed state of a member. */
public enum MemberState {
    /** The member answers probes. */
    ALIVE,
    /** The member did not answer a direct probe and no indirect probe reached it. */
    SUSPECT,
    /** The member has announced that it is leaving. */
    LEAVING,
    /** The member has left, or has not refuted a suspicion in time. */
    DEAD
}
