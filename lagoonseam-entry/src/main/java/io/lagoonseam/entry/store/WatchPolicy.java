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

    private WatchPolicy() {}

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
