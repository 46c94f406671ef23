package io.lagoonseam.core.operation.internal;

import java.util.List;

/** What came of taking a shard over. */
sealed interface OpenResult permits OpenResult.Opened, OpenResult.Held, OpenResult.Failed {

    /**
     * This node owns the shard.
     *
     * @param segments the records of each segment from the oldest on
     */
    record Opened(List<LoadedSegment> segments) implements OpenResult {}

    /**
     * The records of one segment.
     *
     * @param number its number
     * @param records its records
     */
    record LoadedSegment(long number, List<JournalRecord> records) {}

    /**
     * Another owner has the shard and was left alone.
     *
     * @param owner the owner
     */
    record Held(String owner) implements OpenResult {}

    /** The shard could not be taken over now. */
    record Failed() implements OpenResult {}
}
