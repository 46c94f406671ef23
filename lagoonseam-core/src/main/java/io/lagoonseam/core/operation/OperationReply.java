package io.lagoonseam.core.operation;

/** What the owner of a shard answers. */
public sealed interface OperationReply permits OperationReply.Began, OperationReply.Done, OperationReply.Failed {

    /**
     * The answer to {@link OperationMessage.Begin}.
     *
     * @param result what the journal says
     */
    record Began(BeginResult result) implements OperationReply {}

    /** What was asked is durable. */
    record Done() implements OperationReply {}

    /** What was asked could not be made durable. */
    record Failed() implements OperationReply {}
}
