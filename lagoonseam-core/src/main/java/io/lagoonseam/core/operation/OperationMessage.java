package io.lagoonseam.core.operation;

import java.util.Optional;

/** What one node asks of the owner of a shard. */
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
     * Asks to begin.
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
     * Says that an operation ran.
     *
     * @param key the operation
     * @param attemptId the attempt, empty if the upstream reported it later
     * @param answer its answer, empty if that is not known
     */
    record Complete(OperationKey key, String attemptId, Optional<RecordedAnswer> answer) implements OperationMessage {}

    /**
     * Says that an attempt sent nothing and will send nothing.
     *
     * @param key the operation
     * @param attemptId the attempt
     */
    record Withdraw(OperationKey key, String attemptId) implements OperationMessage {}

    /**
     * Says that an attempt ended without knowing whether the operation ran.
     *
     * @param key the operation
     * @param attemptId the attempt
     */
    record LeaveInDoubt(OperationKey key, String attemptId) implements OperationMessage {}
}
