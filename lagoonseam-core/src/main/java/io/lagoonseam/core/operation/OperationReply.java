package io.lagoonseam.core.operation;

/** A reply from a node that was asked as the owner of a journal shard. */
public sealed interface OperationReply
        permits OperationReply.Began, OperationReply.Done, OperationReply.Moved, OperationReply.Failed {

    /**
     * The reply to {@link OperationMessage.Begin}.
     *
     * @param result the result of the begin request
     */
    record Began(BeginResult result) implements OperationReply {}

    /** The requested change was made; it is durable if it writes a record. */
    record Done() implements OperationReply {}

    /**
     * The shard is owned by another node.
     *
     * @param owner the name of the owner, empty if unknown
     */
    record Moved(String owner) implements OperationReply {}

    /** The requested change could not be made durable. */
    record Failed() implements OperationReply {}
}
