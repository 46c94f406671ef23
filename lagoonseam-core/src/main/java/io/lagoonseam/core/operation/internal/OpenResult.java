package io.lagoonseam.core.operation.internal;

import java.util.List;

/** The result of opening a shard. */
sealed interface OpenResult permits OpenResult.Opened, OpenResult.Held, OpenResult.Failed {

    /**
     * This node has taken over the shard.
     *
     * @param segments the records of all segments, oldest first
     */
    record Opened(List<LoadedSegment> segments) implements OpenResult {}

    /**
     * A segment with its decoded records.
     *
     * @param number the number of the segment
     * @param records the records in the order of their writing
     */
    record LoadedSegment(long number, List<JournalRecord> records) {}

    /**
     * Another node owns the shard and keeps it.
     *
     * @param owner the name of the owner
     */
    record Held(String owner) implements OpenResult {}

    /** The shard could not be taken over, or its segments could not be read. */
    record Failed() implements OpenResult {}
}
