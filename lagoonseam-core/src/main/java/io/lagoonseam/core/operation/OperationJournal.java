package io.lagoonseam.core.operation;

import java.util.concurrent.CompletionStage;

/** Keeps the intents and the outcomes of non-idempotent operations durably. */
public interface OperationJournal {

    /**
     * Makes the intent to run an operation durable.
     *
     * @param key the operation
     * @return what the journal says; completes normally also when the journal is unavailable
     */
    CompletionStage<BeginResult> begin(OperationKey key);

    /**
     * Records the answer of an operation that ran.
     *
     * @param key the operation
     * @param answer its answer
     * @return completes when the outcome is durable, or exceptionally when it could not be made so
     */
    CompletionStage<Void> complete(OperationKey key, RecordedAnswer answer);

    /**
     * Withdraws an intent whose request certainly did not run.
     *
     * @param key the operation
     * @return completes when the key is free again, or exceptionally when that is not known
     */
    CompletionStage<Void> withdraw(OperationKey key);
}
