package io.lagoonseam.bench.chaos;

/** The kinds of faults that a chaos run injects. */
public enum FaultKind {
    /** One request class sends requests at five times its rate. */
    BURST,
    /** One engine is five times slower, and its load reports lag by two seconds. */
    STRAGGLER,
    /** One engine loses all streams and closes its connections. */
    ENGINE_CRASH,
    /** All load reports lag by two seconds. */
    LATE_REPORTS,
    /** About 34 percent of the open streams of one engine send no more data but stay open. */
    SILENT_CONNECTIONS,
    /** One engine sends mismatched responses, which carry the ids of other requests. */
    CROSSED_ANSWERS,
    /** The platform refuses every call. */
    PLATFORM_DOWN,
    /** The platform delays each answer by 400 ms. */
    PLATFORM_SLOW,
    /** The platform drops 30 percent of the answers to writes that took effect. */
    PLATFORM_LOSES_ANSWERS,
    /** One data centre cannot reach the platform. */
    DATA_CENTRE_CUT_OFF,
    /** A node is killed without finishing requests in flight, and a new node is started in its place. */
    NODE_KILLED,
    /** A node is stopped gracefully, and a new node is started in its place. */
    NODE_REPLACED,
    /** One engine is marked as leaving in the VM list, stopped, and restarted with an empty cache. */
    UPSTREAM_REPLACED,
    /** Two operators apply different file sets at the same time. */
    CONFLICTING_APPLIES
}
