package io.lagoonseam.core.lock;

/** The lock ordering: a thread that holds a lock may acquire only locks of later ranks. */
public enum LockRank {
    /** The table of configuration generations. */
    CONFIGURATION,
    /** The table of members. */
    MEMBERSHIP,
    /** The queues and workers of one service. */
    SERVICE,
    /** The shares of workers' capacity that this node grants. */
    CAPACITY,
    /** The intents of one journal shard. */
    JOURNAL,
    /** The limits of workspaces. */
    LIMITS,
    /** Retry budgets. */
    RETRY,
    /** The trails of events and requests. */
    TRAIL
}
