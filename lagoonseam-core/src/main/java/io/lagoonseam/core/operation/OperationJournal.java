package io.lagoonseam.core.operation;

import java.util.concurrent.CompletionStage;

/** Keeps the intents and the outcomes of non-idempotent operations durably. */
public interface OperationJournal {

    /**
     * Makes the intent to run an operation durable, or waits for the attempt in flight.
     *
     * @param request the operation and the attempt
     * @return what the journal says; completes normally also when the journal is unavailable
     */
    CompletionStage<BeginResult> begin(BeginRequest request);

    /**
     * Records the answer of an operation that ran. The journal goes on trying until the outcome is durable.
     *
     * @param key the operation
     * @param attemptId the attempt that ran it
     * @param answer its answer
     * @return completes when the outcome is durable
     */
    CompletionStage<Void> complete(OperationKey key, String attemptId, RecordedAnswer answer);

    /**
     * Records that the upstream says an operation ran, without its answer.
     *
     * @param key the operation
     * @return completes when that is durable
     */
    CompletionStage<Void> confirmRan(OperationKey key);

    /**
     * Withdraws the intent of an attempt that has sent nothing and will send nothing.
     *
     * @param key the operation
     * @param attemptId the attempt
     * @return completes when the key is free again
     */
    CompletionStage<Void> withdraw(OperationKey key, String attemptId);

    /**
     * Says that an attempt ended without knowing whether the operation ran.
     *
     * @param key the operation
     * @param attemptId the attempt
     */
    void leaveInDoubt(OperationKey key, String attemptId);
}
