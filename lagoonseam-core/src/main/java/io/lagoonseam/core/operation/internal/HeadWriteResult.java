package io.lagoonseam.core.operation.internal;

/** The result of writing the head object of a shard. */
sealed interface HeadWriteResult permits HeadWriteResult.Written, HeadWriteResult.Refused, HeadWriteResult.Fenced {

    /**
     * The write took effect; its records are durable.
     *
     * @param segment the number of the segment that holds the records
     */
    record Written(long segment) implements HeadWriteResult {}

    /** The platform refused the write; nothing changed. */
    record Refused() implements HeadWriteResult {}

    /**
     * Another node has taken over the shard.
     *
     * @param owner the name of the new owner, empty if unknown
     */
    record Fenced(String owner) implements HeadWriteResult {}
}
