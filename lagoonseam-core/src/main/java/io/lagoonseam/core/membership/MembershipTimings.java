package io.lagoonseam.core.membership;

/**
 * The times and numbers of the membership protocol.
 *
 * @param probeIntervalMillis the time between two probes of a node
 * @param probeTimeoutMillis the longest wait for the answer to a direct probe
 * @param indirectTimeoutMillis the longest wait for the answer to an indirect probe
 * @param indirectProbes the number of members asked to probe indirectly
 * @param suspicionMillis the time that a suspect has to refute
 * @param exchangeIntervalMillis the time between two exchanges of whole tables, which come more often after a start
 * @param deadRetentionMillis the time that a dead member is remembered and now and then probed
 * @param updatesPerMessage the largest number of updates on a probe
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
     * Returns the times that nodes use.
     *
     * @return the times
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
