package io.lagoonseam.core.operation;

import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Sizes and intervals of a sharded journal. All nodes of a deployment must use the same number of shards.
 *
 * @param shards the number of shards, each stored as one journal object
 * @param writeIntervalMillis the mean interval between writes of a busy shard, in milliseconds; a shard that has been
 *     idle may make several writes in a burst
 * @param openSegmentBytes the size in bytes above which the open segment is sealed
 * @param batchBytes the size in bytes at which a batch of records is closed for writing
 * @param retentionMillis supplies the time for which outcomes are retained, in milliseconds
 * @param answerMaxBytes supplies the size of the largest answer body that is recorded, in bytes
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
     * Returns the default options with the default retention of 24 hours and a limit of 16,000 bytes for recorded
     * answers.
     *
     * @return the default options
     */
    public static JournalOptions standard() {
        return standard(() -> RETENTION_MILLIS, () -> ANSWER_MAX_BYTES);
    }

    /**
     * Returns the default options with a given retention rule.
     *
     * @param retentionMillis supplies the time for which outcomes are retained, in milliseconds
     * @param answerMaxBytes supplies the size of the largest answer body that is recorded, in bytes
     * @return the options
     */
    public static JournalOptions standard(LongSupplier retentionMillis, IntSupplier answerMaxBytes) {
        return new JournalOptions(
                SHARDS, WRITE_INTERVAL_MILLIS, OPEN_SEGMENT_BYTES, BATCH_BYTES, retentionMillis, answerMaxBytes);
    }
}
