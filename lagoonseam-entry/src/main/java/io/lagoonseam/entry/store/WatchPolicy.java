package io.lagoonseam.entry.store;

/**
 * Determines the long-poll time of a watch from the number of nodes. Each node reports the changes that it has received
 * to the others, so one new watch every 500 ms over all nodes is enough. The rate of calls to the store therefore does
 * not grow with the number of nodes until the longest long-poll time is reached.
 */
public final class WatchPolicy {

    /** The interval between new watches of a collection over all nodes, in milliseconds. */
    private static final long WATCH_INTERVAL_MILLIS = 500;

    private WatchPolicy() {}

    /**
     * Returns the long-poll time of a watch.
     *
     * @param nodes the number of running nodes, including this one
     * @return the time in milliseconds, at least {@link CollectionFollower#PROMPT_WATCH_MILLIS} and at most
     *     {@link CollectionFollower#PATIENT_WATCH_MILLIS}
     */
    public static long waitMillis(int nodes) {
        return Math.min(
                CollectionFollower.PATIENT_WATCH_MILLIS,
                Math.max(CollectionFollower.PROMPT_WATCH_MILLIS, WATCH_INTERVAL_MILLIS * nodes));
    }
}
