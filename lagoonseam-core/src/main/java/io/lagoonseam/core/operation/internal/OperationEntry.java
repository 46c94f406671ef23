package io.lagoonseam.core.operation.internal;

import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.operation.BeginResult;
import io.lagoonseam.core.operation.OperationKey;
import io.lagoonseam.core.operation.RecordedAnswer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** What an owner knows of one operation. Guarded by the lock of its table. */
final class OperationEntry {

    enum State {
        /** The intent is not durable. */
        PENDING,
        /** The intent is durable and its attempt was told so. */
        IN_FLIGHT,
        /** The intent is durable and nobody here waits for its attempt. */
        IN_DOUBT,
        /** It ran and its answer is known. */
        COMPLETED,
        /** It ran and its answer is not known. */
        RAN
    }

    /**
     * Somebody who waits for the journal's word.
     *
     * @param attemptId the attempt
     * @param answer receives the word
     */
    record Waiter(String attemptId, CompletableFuture<BeginResult> answer) {}

    final OperationKey key;
    final Tier tier;
    final List<Waiter> waiters = new ArrayList<>();
    String attemptId;
    State state;
    RecordedAnswer answer;
    long recordedAtMillis;
    long segment;
    boolean taken;
    CompletableFuture<Void> outcomeDurable;
    String otherAttempt = "";

    OperationEntry(OperationKey key, String attemptId, Tier tier, State state) {
        this.key = key;
        this.attemptId = attemptId;
        this.tier = tier;
        this.state = state;
    }

    boolean hasRun() {
        return state == State.COMPLETED || state == State.RAN;
    }

    BeginResult outcome() {
        return state == State.COMPLETED ? new BeginResult.Completed(answer) : new BeginResult.RanBefore();
    }

    List<Waiter> takeWaiters() {
        List<Waiter> taking = List.copyOf(waiters);
        waiters.clear();
        return taking;
    }
}
