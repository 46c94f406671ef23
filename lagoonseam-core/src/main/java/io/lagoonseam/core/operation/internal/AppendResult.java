package io.lagoonseam.core.operation.internal;

/** The result of writing the head object of a shard. */
sealed interface AppendResult permits AppendResult.Appended, AppendResult.Refused, AppendResult.Fenced {

    /**
     * The write took effect; its records are durable.
     *
     * @param segment the number of the segment that holds the records
     */
    record Appended(long segment) implements AppendResult {}

    /** The platform refused the write; nothing changed. */
    record Refused() implements AppendResult {}

    /**
     * Another node has taken over the shard.
     *
     * @param owner the name of the new owner, empty if unknown
     */
    record Fenced(String owner) implements AppendResult {}
}
