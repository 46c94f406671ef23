package io.lagoonseam.entry.store;

/**
 * Determines the long-poll timeout of a watch from the number of nodes. Each node reports the changes that it has
 * received to the others, so one new watch every 500 ms over all nodes is enough. Between 8 and 50 nodes the rate of
 * calls to the store therefore does not grow with the number of nodes; below and above, the minimum and the maximum
 * long-poll timeout apply.
 */
public final class WatchPolicy {

    /** The interval between new watches of a collection over all nodes, in milliseconds. */
    private static final long WATCH_INTERVAL_MILLIS = 500;

    /** How long changes are gathered between two watches, in milliseconds for each node, and at most. */
    private static final long GATHER_MILLIS_PER_NODE = 5;

    private static final long MAX_GATHER_MILLIS = 400;

    /** The same for the registrations of nodes; peers learn of each other from messages too. */
    private static final long NODES_GATHER_MILLIS_PER_NODE = 30;

    private static final long MAX_NODES_GATHER_MILLIS = 2_500;

    private WatchPolicy() {}

    /**
     * Returns how long changes of the configuration and of the workers are gathered between a watch that returned some
     * and the next one. The more nodes, the more calls each change causes.
     *
     * @param nodes the number of running nodes, including this one
     * @return the time in milliseconds
     */
    public static long gatherMillis(int nodes) {
        return Math.min(MAX_GATHER_MILLIS, GATHER_MILLIS_PER_NODE * nodes);
    }

    /**
     * Returns how long changes of the nodes' registrations are gathered.
     *
     * @param nodes the number of running nodes, including this one
     * @return the time in milliseconds
     */
    public static long nodesGatherMillis(int nodes) {
        return Math.min(MAX_NODES_GATHER_MILLIS, NODES_GATHER_MILLIS_PER_NODE * nodes);
    }

    /**
     * Returns the long-poll timeout of a watch.
     *
     * @param nodes the number of running nodes, including this one
     * @return the timeout in milliseconds, at least {@link CollectionFollower#SHORT_WATCH_MILLIS} and at most
     *     {@link CollectionFollower#LONG_WATCH_MILLIS}
     */
    public static long longPollTimeoutMillis(int nodes) {
        return Math.min(
                CollectionFollower.LONG_WATCH_MILLIS,
                Math.max(CollectionFollower.SHORT_WATCH_MILLIS, WATCH_INTERVAL_MILLIS * nodes));
    }
}
