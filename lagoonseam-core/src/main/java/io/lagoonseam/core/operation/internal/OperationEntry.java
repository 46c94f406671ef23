package io.lagoonseam.core.operation.internal;

import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.operation.BeginResult;
import io.lagoonseam.core.operation.OperationKey;
import io.lagoonseam.core.operation.RecordedAnswer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** State of an operation at the owner of its shard. Guarded by the lock of the {@link OperationTable}. */
final class OperationEntry {

    enum State {
        /** The intent is not durable. */
        PENDING,
        /** The intent is durable, and its attempt may run the operation. */
        IN_FLIGHT,
        /** The intent is durable, and the outcome of its attempt is unknown. */
        IN_DOUBT,
        /** The operation ran, and its answer is recorded. */
        COMPLETED,
        /** The operation ran, and its answer is not recorded. */
        RAN
    }

    /**
     * A begin request that waits for its result.
     *
     * @param attemptId the attempt id
     * @param result completes with the result
     */
    record Waiter(String attemptId, CompletableFuture<BeginResult> result) {}

    final OperationKey key;
    final Tier tier;
    final List<Waiter> waiters = new ArrayList<>();
    String attemptId;
    State state;
    RecordedAnswer answer;
    long recordedAtMillis;
    long segment;
    /** Whether the intent is part of a batch that is being written. */
    boolean inWrite;

    CompletableFuture<Void> outcomeDurable;

    /** Another attempt that reported an outcome of the operation, empty if there is none. */
    String conflictingAttemptId = "";

    OperationEntry(OperationKey key, String attemptId, Tier tier, State state) {
        this.key = key;
        this.attemptId = attemptId;
        this.tier = tier;
        this.state = state;
    }

    static OperationEntry of(JournalRecord durable, long segment) {
        OperationEntry entry = new OperationEntry(durable.key(), durable.attemptId(), Tier.STANDARD, State.IN_DOUBT);
        entry.segment = segment;
        entry.outcomeDurable = CompletableFuture.completedFuture(null);
        if (durable instanceof JournalRecord.Completed outcome) {
            entry.state = State.COMPLETED;
            entry.answer = outcome.answer();
            entry.recordedAtMillis = outcome.recordedAtMillis();
        } else if (durable instanceof JournalRecord.Ran ran) {
            entry.state = State.RAN;
            entry.recordedAtMillis = ran.recordedAtMillis();
        }
        return entry;
    }

    /** Returns whether the last durable record of the operation is its intent. */
    boolean isUnresolved() {
        return state != State.PENDING && !(hasRun() && outcomeDurable.isDone());
    }

    boolean isExpired(long oldestMillis) {
        return hasRun() && outcomeDurable.isDone() && recordedAtMillis < oldestMillis;
    }

    boolean hasRun() {
        return state == State.COMPLETED || state == State.RAN;
    }

    BeginResult outcome() {
        return state == State.COMPLETED ? new BeginResult.Completed(answer) : new BeginResult.RanBefore();
    }

    List<Waiter> removeWaiters() {
        List<Waiter> removed = List.copyOf(waiters);
        waiters.clear();
        return removed;
    }
}
