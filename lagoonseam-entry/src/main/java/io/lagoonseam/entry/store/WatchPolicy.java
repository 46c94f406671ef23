package io.lagoonseam.entry.store;

import java.util.random.RandomGenerator;

/**
 * Determines the long-poll timeout of a watch from the number of nodes. A connection that has gone silent without an
 * error is noticed when the long poll ends without an answer. In a small deployment each node notices that within the
 * time in which it has to be in touch with the store again. Each node reports the changes that it has received to the
 * others, so in a larger one it is enough that some node does: the timeouts grow with the number of nodes, and the rate
 * of calls to the store does not. They are random, since a change ends the watches of all nodes at the same time.
 */
public final class WatchPolicy {

    /**
     * The long-poll timeout of a node that relies on its own watch, in milliseconds. With the time for the answer and
     * the listing that follows, it stays below three seconds.
     */
    static final long SHORT_WATCH_MILLIS = 1_500;

    /** The shortest long-poll timeout, in milliseconds; shorter ones would make every node a frequent caller. */
    static final long MIN_WATCH_MILLIS = 250;

    /** The interval between new watches of a collection over all nodes, in milliseconds. */
    private static final long WATCH_INTERVAL_MILLIS = 165;

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
     * Returns the long-poll timeout of the next watch.
     *
     * @param nodes the number of running nodes, including this one
     * @param random the source of the differences between nodes
     * @return the timeout in milliseconds, at most {@link CollectionFollower#LONG_WATCH_MILLIS}; at most
     *     {@link #SHORT_WATCH_MILLIS} if the mean for this number of nodes is not higher
     */
    public static long longPollTimeoutMillis(int nodes, RandomGenerator random) {
        long meanMillis = WATCH_INTERVAL_MILLIS * nodes;
        if (meanMillis <= SHORT_WATCH_MILLIS) {
            return SHORT_WATCH_MILLIS;
        }
        long maxMillis = Math.min(CollectionFollower.LONG_WATCH_MILLIS, 2 * meanMillis - MIN_WATCH_MILLIS);
        return random.nextLong(MIN_WATCH_MILLIS, maxMillis + 1);
    }
}
