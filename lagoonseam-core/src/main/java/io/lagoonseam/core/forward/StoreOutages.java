package io.lagoonseam.core.forward;

/**
 * Decides, from the calls of a node to the store, whether a record that has been removed may only have expired while
 * the store was away. It answers outages of the store, after which its records are written again, beside workers that
 * leave at any time.
 *
 * <p>A record expires if it has not been written for several intervals, so it takes an outage of more than one of them.
 * Only calls that the store does not answer show an outage: not a watch that is cut off, and not a call that was sent
 * before the store answered another one. Outages with less than an interval between them count as one, since records
 * may not have been written in between. Not thread-safe.
 */
public final class StoreOutages {

    /**
     * How long after an outage a record may be missing, in milliseconds. Records that expired are written again within
     * 2 s of its end; a fifth is added for transmission.
     */
    public static final long REREGISTRATION_MILLIS = 2_400;

    /** The shortest outage in which a record may expire, in intervals. */
    private static final double MIN_OUTAGE_INTERVALS = 1.5;

    private final long intervalMillis;
    private boolean away;
    private long awaySinceMillis;
    private long lastFailureMillis = Long.MIN_VALUE / 2;
    private long lastSuccessMillis = Long.MIN_VALUE / 2;
    private long keptUntilMillis = Long.MIN_VALUE / 2;

    /**
     * Creates an object that knows of no outage.
     *
     * @param intervalMillis the interval at which workers write their records, in milliseconds
     */
    public StoreOutages(long intervalMillis) {
        this.intervalMillis = intervalMillis;
    }

    /**
     * Records that the store has not answered a call.
     *
     * @param sentMillis when the call was sent, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void failed(long sentMillis, long nowMillis) {
        if (sentMillis < lastSuccessMillis) {
            return;
        }
        if (!away && sentMillis - lastFailureMillis > intervalMillis) {
            awaySinceMillis = sentMillis;
        }
        away = true;
        lastFailureMillis = nowMillis;
    }

    /**
     * Records that the store has answered a call.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void succeeded(long nowMillis) {
        lastSuccessMillis = nowMillis;
        if (away && isLong(nowMillis)) {
            expired(nowMillis);
        }
        away = false;
    }

    /**
     * Records that an outage has ended which the calls of this node do not show.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void expired(long nowMillis) {
        keptUntilMillis = Math.max(keptUntilMillis, nowMillis + REREGISTRATION_MILLIS);
    }

    /**
     * Returns whether a record that is missing may have expired, so that it is written again if its worker is alive.
     *
     * @param nowMillis the current time, in milliseconds
     * @return true during and shortly after an outage
     */
    public boolean mayHaveExpired(long nowMillis) {
        return away && isLong(nowMillis) || nowMillis <= keptUntilMillis;
    }

    private boolean isLong(long nowMillis) {
        return nowMillis - awaySinceMillis >= MIN_OUTAGE_INTERVALS * intervalMillis;
    }
}
