package io.lagoonseam.core.invariant;

/** The invariants that are checked at run time. */
public enum Invariant {
    /** An urgent request is never shed or preempted for a lower tier. */
    URGENT_NEVER_SHED,
    /** Each request class is served within its longest wait while its service answers. */
    EVERY_CLASS_SERVED,
    /** A caller receives its own answer completely, and no part of another caller's answer. */
    OWN_ANSWER_WHOLE,
    /** A request that is reported as not run was not sent. */
    NOT_RUN_IS_TRUE,
    /** A non-idempotent operation is sent at most once. */
    AT_MOST_ONCE,
    /** A leaving upstream receives no new requests. */
    LEAVING_GETS_NO_WORK,
    /** A planned stop does not abort requests in flight. */
    STOP_CUTS_NOTHING,
    /** A node never puts a lower configuration generation in force. */
    GENERATION_NEVER_FALLS
}
