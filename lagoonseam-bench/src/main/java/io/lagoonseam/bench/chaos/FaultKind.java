package io.lagoonseam.bench.chaos;

/** The faults of a random run. */
public enum FaultKind {
    /** One class sends five times its rate. */
    BURST,
    /** One engine is five times slower, and its load report lags. */
    STRAGGLER,
    /** An engine loses all streams and closes connections. */
    ENGINE_CRASH,
    /** All load reports lag by two seconds. */
    LATE_REPORTS,
    /** Open streams of one engine go silent. */
    SILENT_CONNECTIONS,
    /** One engine answers with other requests' ids. */
    CROSSED_ANSWERS,
    /** The platform refuses every call. */
    PLATFORM_DOWN,
    /** The platform answers slowly. */
    PLATFORM_SLOW,
    /** The platform loses the answers of writes that took effect. */
    PLATFORM_LOSES_ANSWERS,
    /** One data centre does not reach the platform. */
    DATA_CENTRE_CUT_OFF,
    /** A node ends without finishing anything, and another takes its place. */
    NODE_KILLED,
    /** A node is stopped gracefully, and another takes its place. */
    NODE_REPLACED,
    /** An engine leaves by the VM list, ends and comes back empty. */
    UPSTREAM_REPLACED,
    /** Two operators apply different file sets at once. */
    CONFLICTING_APPLIES
}
