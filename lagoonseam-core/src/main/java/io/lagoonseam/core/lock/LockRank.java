package io.lagoonseam.core.lock;

/** The order in which locks are taken: a thread that holds a rank may take only later ones. */
public enum LockRank {
    /** The table of configuration generations. */
    CONFIGURATION,
    /** The table of members. */
    MEMBERSHIP,
    /** The queues and the workers of one service. */
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
