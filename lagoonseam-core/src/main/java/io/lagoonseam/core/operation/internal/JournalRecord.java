package io.lagoonseam.core.operation.internal;

import io.lagoonseam.core.operation.OperationKey;
import io.lagoonseam.core.operation.RecordedAnswer;

/**
 * A record of a journal shard. A later record of a key replaces an earlier one, except that an intent does not replace
 * the outcome of the same attempt, and a withdrawal removes only an unresolved intent of its own attempt.
 */
public sealed interface JournalRecord
        permits JournalRecord.Intent, JournalRecord.Completed, JournalRecord.Ran, JournalRecord.Withdrawal {

    /**
     * Returns the operation that the record belongs to.
     *
     * @return the operation key
     */
    OperationKey key();

    /**
     * Returns the attempt that the record belongs to.
     *
     * @return the attempt id
     */
    String attemptId();

    /**
     * The intent of an attempt to send the operation.
     *
     * @param key the operation key
     * @param attemptId the attempt id
     */
    record Intent(OperationKey key, String attemptId) implements JournalRecord {}

    /**
     * The outcome of an operation that ran, with its answer.
     *
     * @param key the operation key
     * @param attemptId the attempt id
     * @param recordedAtMillis the wall-clock time from which the retention period is measured, in milliseconds since
     *     the epoch
     * @param answer the recorded answer
     */
    record Completed(OperationKey key, String attemptId, long recordedAtMillis, RecordedAnswer answer)
            implements JournalRecord {}

    /**
     * The outcome of an operation that ran, without its answer.
     *
     * @param key the operation key
     * @param attemptId the attempt id
     * @param recordedAtMillis the wall-clock time from which the retention period is measured, in milliseconds since
     *     the epoch
     */
    record Ran(OperationKey key, String attemptId, long recordedAtMillis) implements JournalRecord {}

    /**
     * Withdraws the intent of an attempt that has not sent the operation and will not send it.
     *
     * @param key the operation key
     * @param attemptId the attempt id
     */
    record Withdrawal(OperationKey key, String attemptId) implements JournalRecord {}
}
