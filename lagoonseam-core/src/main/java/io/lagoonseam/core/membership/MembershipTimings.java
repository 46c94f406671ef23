package io.lagoonseam.core.membership;

/**
 * Intervals, timeouts and limits of the membership protocol. Times are in milliseconds.
 *
 * @param probeIntervalMillis the time between two probes sent by a node
 * @param probeTimeoutMillis the response timeout of a direct probe
 * @param indirectTimeoutMillis the response timeout of an indirect probe; an exchange of tables has twice this time
 * @param indirectProbes the number of members asked for an indirect probe
 * @param suspicionMillis the suspicion timeout, within which a suspected member can refute the suspicion
 * @param exchangeIntervalMillis the mean time between two exchanges of full tables; after the start of a node the time
 *     begins at twice the probe interval and doubles up to this value
 * @param deadRetentionMillis the time for which a dead member is kept and occasionally contacted before it is removed
 * @param updatesPerMessage the maximum number of updates piggybacked on one message
 */
public record MembershipTimings(
        long probeIntervalMillis,
        long probeTimeoutMillis,
        long indirectTimeoutMillis,
        int indirectProbes,
        long suspicionMillis,
        long exchangeIntervalMillis,
        long deadRetentionMillis,
        int updatesPerMessage) {

    private static final long PROBE_INTERVAL_MILLIS = 500;
    private static final long PROBE_TIMEOUT_MILLIS = 250;
    private static final long INDIRECT_TIMEOUT_MILLIS = 500;
    private static final int INDIRECT_PROBES = 3;
    private static final long SUSPICION_MILLIS = 1_500;
    private static final long EXCHANGE_INTERVAL_MILLIS = 30_000;
    private static final long DEAD_RETENTION_MILLIS = 600_000;
    private static final int UPDATES_PER_MESSAGE = 20;

    /**
     * Returns the timings used in production.
     *
     * @return the timings
     */
    public static MembershipTimings standard() {
        return new MembershipTimings(
                PROBE_INTERVAL_MILLIS,
                PROBE_TIMEOUT_MILLIS,
                INDIRECT_TIMEOUT_MILLIS,
                INDIRECT_PROBES,
                SUSPICION_MILLIS,
                EXCHANGE_INTERVAL_MILLIS,
                DEAD_RETENTION_MILLIS,
                UPDATES_PER_MESSAGE);
    }
}
