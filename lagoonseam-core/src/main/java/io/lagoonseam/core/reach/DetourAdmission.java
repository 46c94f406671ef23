package io.lagoonseam.core.reach;

/**
 * Decides how much a node sends to workers on behalf of nodes that are cut off from them, so that they do not swamp it.
 * As it gets busier, it takes requests of ever fewer priorities, the most urgent ones longest. Not thread-safe.
 */
public final class DetourAdmission {

    /** The share of the places that requests below the most urgent priority may take. */
    private static final double LESS_URGENT_SHARE = 0.75;

    /**
     * The delay of the event loop above which the node takes no request of the most urgent priority, in milliseconds.
     */
    private static final double MAX_LAG_MILLIS = 200;

    private final int maxInFlight;
    private final long maxBodyBytes;
    private int inFlight;
    private long bodyBytes;

    /**
     * Creates an object without requests in flight.
     *
     * @param maxInFlight the number of requests that may be in flight at the same time
     * @param maxBodyBytes the memory that their bodies may occupy, in bytes
     */
    public DetourAdmission(int maxInFlight, long maxBodyBytes) {
        this.maxInFlight = maxInFlight;
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Takes a request if there is room for it.
     *
     * @param priority its priority; 0 is the most urgent
     * @param bytes the size of its body, in bytes
     * @param lagMillis how late the event loop of the node runs its tasks, in milliseconds
     * @return whether it is taken; {@link #ended} has to be called then
     */
    public boolean tryBegin(int priority, long bytes, double lagMillis) {
        double places = priority == 0 ? maxInFlight : LESS_URGENT_SHARE * maxInFlight;
        boolean room = inFlight + 1 <= places
                && bodyBytes + bytes <= maxBodyBytes
                && lagMillis <= MAX_LAG_MILLIS / (1 + priority);
        if (room) {
            inFlight++;
            bodyBytes += bytes;
        }
        return room;
    }

    /**
     * Records that a request that was taken has ended.
     *
     * @param bytes the size of its body, in bytes
     */
    public void ended(long bytes) {
        inFlight--;
        bodyBytes -= bytes;
    }

    /** Returns the number of requests in flight. */
    public int inFlight() {
        return inFlight;
    }
}
