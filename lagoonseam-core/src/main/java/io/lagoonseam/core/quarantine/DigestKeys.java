package io.lagoonseam.core.quarantine;

/**
 * The key of digests at one node, which agrees with the others on the oldest key. A node that starts takes over the key
 * of the first node that answers, whichever is older, since the clock of either may have been set. Not thread-safe.
 */
public final class DigestKeys {

    /** How long a node that starts looks for a node that has a key, in milliseconds. */
    private static final long SEARCH_MILLIS = 3_000;

    private final long startMillis;
    private DigestKey key;
    private boolean adopted;

    /**
     * Creates the keys of a node that starts.
     *
     * @param drawn a key that it has drawn
     * @param nowMillis the current time, in milliseconds
     */
    public DigestKeys(DigestKey drawn, long nowMillis) {
        this.key = drawn;
        this.startMillis = nowMillis;
    }

    /**
     * Returns the key.
     *
     * @return the key
     */
    public DigestKey key() {
        return key;
    }

    /**
     * Returns whether the key is that of other nodes, as far as this node can know.
     *
     * @param nowMillis the current time, in milliseconds
     * @return false while it looks for one
     */
    public boolean settled(long nowMillis) {
        return adopted || nowMillis - startMillis >= SEARCH_MILLIS;
    }

    /**
     * Learns the key of another node.
     *
     * @param theirs its key
     * @param theirsSettled whether that is settled
     * @param nowMillis the current time, in milliseconds
     */
    public void learn(DigestKey theirs, boolean theirsSettled, long nowMillis) {
        boolean settled = settled(nowMillis);
        if (settled == theirsSettled ? theirs.precedes(key) : theirsSettled) {
            key = theirs;
        }
        adopted |= theirsSettled;
    }
}
