package io.lagoonseam.core.operation;

import java.util.concurrent.CompletionStage;

/** A durable write-ahead journal of the intents and outcomes of non-idempotent operations. */
public interface OperationJournal {

    /**
     * Writes the intent to run an operation, or waits for the outcome of the attempt in flight.
     *
     * @param request the operation and the attempt
     * @return the result; completes normally even if the journal is unavailable
     */
    CompletionStage<BeginResult> begin(BeginRequest request);

    /**
     * Records the answer of an operation that ran. The journal retries until the outcome is durable.
     *
     * @param key the operation
     * @param attemptId the attempt that ran it
     * @param answer the upstream's answer
     * @return completes when the outcome is durable
     */
    CompletionStage<Void> complete(OperationKey key, String attemptId, RecordedAnswer answer);

    /**
     * Records that an operation ran according to its upstream, without its answer.
     *
     * @param key the operation
     * @return completes when the record is durable
     */
    CompletionStage<Void> confirmRan(OperationKey key);

    /**
     * Withdraws the intent of an attempt that has not sent the operation and will not send it.
     *
     * @param key the operation
     * @param attemptId the attempt
     * @return completes when the withdrawal is durable and the key can be used again
     */
    CompletionStage<Void> withdraw(OperationKey key, String attemptId);

    /**
     * Marks the outcome of an attempt that ended without a known result as unknown, and ends the wait of other
     * attempts.
     *
     * @param key the operation
     * @param attemptId the attempt
     */
    void leaveInDoubt(OperationKey key, String attemptId);
}
