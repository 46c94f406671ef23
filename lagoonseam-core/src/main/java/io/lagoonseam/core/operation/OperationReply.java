package io.lagoonseam.core.operation;

/** What the owner of a shard answers. */
public sealed interface OperationReply
        permits OperationReply.Began, OperationReply.Done, OperationReply.Moved, OperationReply.Failed {

    /**
     * The answer to {@link OperationMessage.Begin}.
     *
     * @param result what the journal says
     */
    record Began(BeginResult result) implements OperationReply {}

    /** What was asked is durable. */
    record Done() implements OperationReply {}

    /**
     * The shard has another owner.
     *
     * @param owner the owner, empty if it is not known
     */
    record Moved(String owner) implements OperationReply {}

    /** What was asked could not be made durable. */
    record Failed() implements OperationReply {}
}
