package io.lagoonseam.core.operation;

import java.util.Optional;

/** A request to the node that owns a journal shard. */
public sealed interface OperationMessage
        permits OperationMessage.Begin,
                OperationMessage.Complete,
                OperationMessage.Withdraw,
                OperationMessage.LeaveInDoubt {

    /**
     * Returns the operation.
     *
     * @return its key
     */
    OperationKey key();

    /**
     * Begins an operation.
     *
     * @param request the operation and the attempt
     */
    record Begin(BeginRequest request) implements OperationMessage {
        @Override
        public OperationKey key() {
            return request.key();
        }
    }

    /**
     * Records that an operation ran.
     *
     * @param key the operation
     * @param attemptId the attempt that ran it, empty if the upstream reported the outcome afterwards
     * @param answer the answer, empty if unknown
     */
    record Complete(OperationKey key, String attemptId, Optional<RecordedAnswer> answer) implements OperationMessage {}

    /**
     * Withdraws the intent of an attempt that has not sent the operation and will not send it.
     *
     * @param key the operation
     * @param attemptId the attempt
     */
    record Withdraw(OperationKey key, String attemptId) implements OperationMessage {}

    /**
     * Marks the outcome of an attempt that ended without a known result as unknown, and ends the wait of other
     * attempts.
     *
     * @param key the operation
     * @param attemptId the attempt
     */
    record LeaveInDoubt(OperationKey key, String attemptId) implements OperationMessage {}
}
