package io.lagoonseam.core.membership;

/** What is believed of a member. */
public enum MemberState {
    /** It answers. */
    ALIVE,
    /** It did not answer a direct probe and has not been confirmed. */
    SUSPECT,
    /** It announced that it leaves. */
    LEAVING,
    /** It is gone. */
    DEAD
}
