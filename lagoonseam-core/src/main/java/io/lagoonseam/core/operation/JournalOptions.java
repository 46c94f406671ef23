package io.lagoonseam.core.operation;

import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * The sizes and times of a sharded journal. Every node of a fleet must have the same number of shards.
 *
 * @param shards the number of journal objects
 * @param writeIntervalMillis the shortest time between two writes of a shard
 * @param openSegmentBytes the size over which the open segment is sealed
 * @param batchBytes the most that one write adds
 * @param retentionMillis the time for which answers are kept
 * @param answerMaxBytes the largest answer that is kept whole
 */
public record JournalOptions(
        int shards,
        long writeIntervalMillis,
        int openSegmentBytes,
        int batchBytes,
        LongSupplier retentionMillis,
        IntSupplier answerMaxBytes) {

    private static final int SHARDS = 8;
    private static final long WRITE_INTERVAL_MILLIS = 100;
    private static final int OPEN_SEGMENT_BYTES = 128_000;
    private static final int BATCH_BYTES = 256_000;
    private static final long RETENTION_MILLIS = 86_400_000;
    private static final int ANSWER_MAX_BYTES = 16_000;

    /**
     * Returns the options that the daemon runs without a retention rule.
     *
     * @return the standard options
     */
    public static JournalOptions standard() {
        return standard(() -> RETENTION_MILLIS, () -> ANSWER_MAX_BYTES);
    }

    /**
     * Returns the options that the daemon runs.
     *
     * @param retentionMillis the time for which answers are kept
     * @param answerMaxBytes the largest answer that is kept whole
     * @return the options
     */
    public static JournalOptions standard(LongSupplier retentionMillis, IntSupplier answerMaxBytes) {
        return new JournalOptions(
                SHARDS, WRITE_INTERVAL_MILLIS, OPEN_SEGMENT_BYTES, BATCH_BYTES, retentionMillis, answerMaxBytes);
    }
}
