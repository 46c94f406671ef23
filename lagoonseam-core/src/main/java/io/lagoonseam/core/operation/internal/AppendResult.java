package io.lagoonseam.core.operation.internal;

/** What came of an append to a shard. */
sealed interface AppendResult permits AppendResult.Appended, AppendResult.Refused, AppendResult.Fenced {

    /**
     * The records are durable.
     *
     * @param segment the number of the segment that holds them
     */
    record Appended(long segment) implements AppendResult {}

    /** Nothing changed. */
    record Refused() implements AppendResult {}

    /**
     * Another owner has taken the shard over.
     *
     * @param owner the other owner, empty if it is not known
     */
    record Fenced(String owner) implements AppendResult {}
}
