package io.lagoonseam.entry.store;

/**
 * How long a watch waits whose silence other nodes make up for: each tells the others what it has seen, so that one
 * node's new watch in each half second is enough, and the calls of a deployment do not grow with its nodes.
 */
public final class WatchPolicy {

    /** The time between two new watches of a collection over all nodes, in milliseconds. */
    private static final long SPREAD_MILLIS = 500;

    private WatchPolicy() {}

    /**
     * Returns how long a watch waits.
     *
     * @param nodes the nodes that run, this one included
     * @return milliseconds, within the prompt and the patient time
     */
    public static long waitMillis(int nodes) {
        return Math.min(
                CollectionFollower.PATIENT_WATCH_MILLIS,
                Math.max(CollectionFollower.PROMPT_WATCH_MILLIS, SPREAD_MILLIS * nodes));
    }
}
