package io.lagoonseam.core.operation.internal;

import io.lagoonseam.core.operation.OperationKey;
import io.lagoonseam.core.operation.RecordedAnswer;

/** One record of a journal shard. A later record of a key replaces an earlier one. */
public sealed interface JournalRecord
        permits JournalRecord.Intent, JournalRecord.Outcome, JournalRecord.Ran, JournalRecord.Withdrawal {

    /**
     * Returns the operation.
     *
     * @return its key
     */
    OperationKey key();

    /**
     * Returns the attempt that the record is about.
     *
     * @return the attempt
     */
    String attemptId();

    /**
     * An attempt may send the operation.
     *
     * @param key the operation
     * @param attemptId the attempt
     */
    record Intent(OperationKey key, String attemptId) implements JournalRecord {}

    /**
     * The operation ran.
     *
     * @param key the operation
     * @param attemptId the attempt
     * @param recordedAtMillis the wall-clock time, from which retention counts
     * @param answer its answer
     */
    record Outcome(OperationKey key, String attemptId, long recordedAtMillis, RecordedAnswer answer)
            implements JournalRecord {}

    /**
     * The operation ran and its answer is not kept.
     *
     * @param key the operation
     * @param attemptId the attempt
     * @param recordedAtMillis the wall-clock time, from which retention counts
     */
    record Ran(OperationKey key, String attemptId, long recordedAtMillis) implements JournalRecord {}

    /**
     * The attempt sent nothing and will send nothing.
     *
     * @param key the operation
     * @param attemptId the attempt
     */
    record Withdrawal(OperationKey key, String attemptId) implements JournalRecord {}
}
