package io.lagoonseam.core.operation.internal;

import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.lock.LockRank;
import io.lagoonseam.core.lock.RankedLock;
import io.lagoonseam.core.operation.BeginRequest;
import io.lagoonseam.core.operation.BeginResult;
import io.lagoonseam.core.operation.JournalOptions;
import io.lagoonseam.core.operation.OperationKey;
import io.lagoonseam.core.operation.RecordedAnswer;
import io.lagoonseam.core.operation.internal.OperationEntry.State;
import io.lagoonseam.core.operation.internal.OperationEntry.Waiter;
import io.lagoonseam.core.time.TimeSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * The operations of a shard that this node owns, with the records to be written next. Outcomes and withdrawals are
 * written before intents, and intents in the order of their tiers. Thread-safe.
 */
public final class OperationTable {

    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final BeginResult.Unavailable UNAVAILABLE = new BeginResult.Unavailable(RETRY_AFTER_MILLIS);

    /** Identity of an operation: its key without the request digest. */
    private record OperationId(String workspace, String key) {
        private static OperationId of(OperationKey key) {
            return new OperationId(key.workspace(), key.key());
        }
    }

    private final RankedLock lock = new RankedLock(LockRank.JOURNAL);
    private final Map<OperationId, OperationEntry> entries = new HashMap<>();
    private final PendingQueue pending = new PendingQueue();
    private final TimeSource time;
    private final InvariantMonitor invariants;
    private final JournalOptions options;

    /**
     * Creates an empty table.
     *
     * @param time the monotonic and the wall clock
     * @param invariants checks invariants at run time
     * @param options the sizes and intervals of the journal
     */
    public OperationTable(TimeSource time, InvariantMonitor invariants, JournalOptions options) {
        this.time = time;
        this.invariants = invariants;
        this.options = options;
    }

    /** Updates the table under its lock and completes futures after the lock is released. */
    private <T> T update(DeferredCompletions completions, Supplier<T> action) {
        T result = lock.call(action);
        completions.executeAll();
        return result;
    }

    /**
     * Begins an operation, or waits for the outcome of the attempt in flight.
     *
     * @param request the operation and the attempt
     * @return completes with the result
     */
    public CompletableFuture<BeginResult> begin(BeginRequest request) {
        CompletableFuture<BeginResult> result = new CompletableFuture<>();
        lock.call(() -> tryBegin(request, result)).ifPresent(result::complete);
        return result;
    }

    /** Returns the result if it is known at once; otherwise adds a waiter and returns empty. */
    private Optional<BeginResult> tryBegin(BeginRequest request, CompletableFuture<BeginResult> result) {
        OperationId id = OperationId.of(request.key());
        OperationEntry entry = entries.get(id);
        if (entry != null && isExpired(entry)) {
            entries.remove(id);
            entry = null;
        }
        Waiter waiter = new Waiter(request.attemptId(), result);
        if (entry == null) {
            OperationEntry created =
                    new OperationEntry(request.key(), request.attemptId(), request.tier(), State.PENDING);
            created.waiters.add(waiter);
            entries.put(id, created);
            pending.addIntent(
                    request.tier(), newPendingRecord(new JournalRecord.Intent(request.key(), request.attemptId())));
            return Optional.empty();
        }
        return tryBeginExisting(entry, waiter, request.key());
    }

    private static PendingRecord newPendingRecord(JournalRecord content) {
        return new PendingRecord(content, new CompletableFuture<>());
    }

    /** Returns the result if it is known at once; otherwise adds the waiter and returns empty. */
    private static Optional<BeginResult> tryBeginExisting(OperationEntry entry, Waiter waiter, OperationKey key) {
        if (!entry.key.requestDigest().equals(key.requestDigest())) {
            return Optional.of(new BeginResult.Mismatched());
        }
        if (entry.hasRun()) {
            return Optional.of(entry.outcome());
        }
        boolean sameAttempt = entry.attemptId.equals(waiter.attemptId());
        if (sameAttempt && entry.state != State.PENDING) {
            // A retry after a lost reply carries the same id; the attempt may start, even if it was in doubt.
            entry.state = State.IN_FLIGHT;
            return Optional.of(new BeginResult.Started());
        }
        if (entry.state == State.IN_DOUBT) {
            return Optional.of(new BeginResult.InDoubt());
        }
        entry.waiters.add(waiter);
        return Optional.empty();
    }

    private boolean isExpired(OperationEntry entry) {
        return entry.isExpired(time.wallMillis() - options.retentionMillis().getAsLong());
    }

    /**
     * Ends a wait that has reached its time limit.
     *
     * @param request the begin request
     * @param waiting the future returned by {@link #begin}
     */
    public void expire(BeginRequest request, CompletableFuture<BeginResult> waiting) {
        DeferredCompletions completions = new DeferredCompletions();
        update(completions, () -> {
            OperationEntry entry = entries.get(OperationId.of(request.key()));
            boolean removed = entry != null
                    && entry.waiters.removeIf(waiter -> waiter.result().equals(waiting));
            if (!removed) {
                return null;
            }
            boolean own = entry.state == State.PENDING && entry.attemptId.equals(request.attemptId());
            completions.add(waiting, own ? UNAVAILABLE : new BeginResult.InDoubt());
            if (own && !entry.inWrite) {
                pending.removeIntent(entry);
                discard(entry, completions);
            }
            return null;
        });
    }

    private void discard(OperationEntry entry, DeferredCompletions completions) {
        entries.remove(OperationId.of(entry.key));
        entry.removeWaiters().forEach(waiter -> completions.add(waiter.result(), UNAVAILABLE));
    }

    /**
     * Records that an operation ran.
     *
     * @param key the operation
     * @param attemptId the attempt that ran it, empty if the upstream reported the outcome afterwards
     * @param answer the answer, empty if unknown
     * @return completes when the outcome is durable
     */
    public CompletionStage<Void> complete(OperationKey key, String attemptId, Optional<RecordedAnswer> answer) {
        DeferredCompletions completions = new DeferredCompletions();
        return update(completions, () -> {
            OperationEntry entry = entries.computeIfAbsent(
                    OperationId.of(key), id -> new OperationEntry(key, attemptId, Tier.STANDARD, State.IN_DOUBT));
            recordAttempt(entry, attemptId);
            Optional<RecordedAnswer> recordable = answer.filter(this::isRecordable);
            boolean alreadyRecorded =
                    entry.state == State.COMPLETED || entry.state == State.RAN && recordable.isEmpty();
            if (!alreadyRecorded) {
                recordOutcome(entry, recordable, completions);
            }
            return entry.outcomeDurable;
        });
    }

    private static void recordAttempt(OperationEntry entry, String attemptId) {
        if (entry.attemptId.isEmpty()) {
            entry.attemptId = attemptId;
        } else if (!attemptId.isEmpty() && !entry.attemptId.equals(attemptId)) {
            entry.conflictingAttemptId = attemptId;
        }
    }

    /**
     * Checks that only one attempt ran an operation. Called after a durable write only, because the write proves that
     * this node still owns the shard; the table of a fenced owner may be out of date.
     */
    private void checkAtMostOnce(OperationEntry entry) {
        invariants.check(
                Invariant.AT_MOST_ONCE,
                entry.conflictingAttemptId.isEmpty(),
                "outcomes reported by attempts " + entry.attemptId + " and " + entry.conflictingAttemptId
                        + " of operation " + entry.key.key());
    }

    private boolean isRecordable(RecordedAnswer answer) {
        // Compares the number of characters, a lower bound of the size in bytes.
        return answer.body().length() <= options.answerMaxBytes().getAsInt();
    }

    private void recordOutcome(OperationEntry entry, Optional<RecordedAnswer> answer, DeferredCompletions completions) {
        entry.recordedAtMillis = time.wallMillis();
        entry.answer = answer.orElse(null);
        entry.state = answer.isPresent() ? State.COMPLETED : State.RAN;
        JournalRecord content = answer.isPresent()
                ? new JournalRecord.Completed(entry.key, entry.attemptId, entry.recordedAtMillis, entry.answer)
                : new JournalRecord.Ran(entry.key, entry.attemptId, entry.recordedAtMillis);
        PendingRecord outcomeRecord = newPendingRecord(content);
        entry.outcomeDurable = outcomeRecord.durable();
        pending.addResolution(outcomeRecord);
        entry.removeWaiters().forEach(waiter -> completions.add(waiter.result(), entry.outcome()));
    }

    /**
     * Withdraws the intent of an attempt that has not sent the operation and will not send it.
     *
     * @param key the operation
     * @param attemptId the attempt
     * @return completes when the withdrawal is durable, at once if no durable intent has to be withdrawn
     */
    public CompletionStage<Void> withdraw(OperationKey key, String attemptId) {
        DeferredCompletions completions = new DeferredCompletions();
        return update(completions, () -> {
            OperationEntry entry = entries.get(OperationId.of(key));
            boolean withdrawable = entry != null && entry.attemptId.equals(attemptId) && !entry.hasRun();
            if (!withdrawable) {
                return CompletableFuture.completedFuture(null);
            }
            return entry.state == State.PENDING
                    ? withdrawPending(entry, completions)
                    : withdrawDurable(entry, completions);
        });
    }

    private CompletionStage<Void> withdrawPending(OperationEntry entry, DeferredCompletions completions) {
        if (entry.inWrite) {
            entry.waiters.removeIf(waiter -> waiter.attemptId().equals(entry.attemptId));
        } else {
            pending.removeIntent(entry);
            discard(entry, completions);
        }
        return CompletableFuture.completedFuture(null);
    }

    private CompletionStage<Void> withdrawDurable(OperationEntry entry, DeferredCompletions completions) {
        PendingRecord withdrawalRecord = newPendingRecord(new JournalRecord.Withdrawal(entry.key, entry.attemptId));
        pending.addResolution(withdrawalRecord);
        discard(entry, completions);
        return withdrawalRecord.durable();
    }

    /**
     * Marks the outcome of an attempt that ended without a known result as unknown, and ends the wait of other
     * attempts.
     *
     * @param key the operation
     * @param attemptId the attempt
     */
    public void leaveInDoubt(OperationKey key, String attemptId) {
        DeferredCompletions completions = new DeferredCompletions();
        update(completions, () -> {
            OperationEntry entry = entries.get(OperationId.of(key));
            if (entry != null && entry.state == State.IN_FLIGHT && entry.attemptId.equals(attemptId)) {
                entry.state = State.IN_DOUBT;
                entry.removeWaiters().forEach(waiter -> completions.add(waiter.result(), new BeginResult.InDoubt()));
            }
            return null;
        });
    }

    boolean hasPending() {
        return lock.call(() -> !pending.isEmpty());
    }

    /** Removes the records of the next write from the queue and returns them. */
    List<PendingRecord> takeBatch() {
        return lock.call(() -> {
            List<PendingRecord> batch = pending.take(options.batchBytes());
            batch.stream().filter(PendingRecord::isIntent).forEach(item -> entryOf(item).inWrite = true);
            return batch;
        });
    }

    private OperationEntry entryOf(PendingRecord item) {
        return entries.get(OperationId.of(item.content().key()));
    }

    /** Marks the records of a batch as durable. */
    void onAppended(List<PendingRecord> batch, long segment) {
        DeferredCompletions completions = new DeferredCompletions();
        update(completions, () -> {
            batch.forEach(item -> {
                OperationEntry entry = entryOf(item);
                if (entry != null && entry.attemptId.equals(item.content().attemptId())) {
                    entry.segment = segment;
                    checkAtMostOnce(entry);
                }
                if (item.isIntent()) {
                    onIntentDurable(entry, item, completions);
                }
            });
            return null;
        });
        batch.forEach(item -> item.durable().complete(null));
    }

    private void onIntentDurable(OperationEntry entry, PendingRecord item, DeferredCompletions completions) {
        if (entry.state != State.PENDING) {
            return;
        }
        Optional<Waiter> own = entry.waiters.stream()
                .filter(waiter -> waiter.attemptId().equals(entry.attemptId))
                .findFirst();
        if (own.isEmpty()) {
            pending.addResolution(newPendingRecord(
                    new JournalRecord.Withdrawal(entry.key, item.content().attemptId())));
            discard(entry, completions);
            return;
        }
        entry.state = State.IN_FLIGHT;
        List<Waiter> others = new ArrayList<>();
        for (Waiter waiter : entry.removeWaiters()) {
            if (waiter.attemptId().equals(entry.attemptId)) {
                completions.add(waiter.result(), new BeginResult.Started());
            } else {
                others.add(waiter);
            }
        }
        entry.waiters.addAll(others);
    }

    /** Requeues the outcomes and withdrawals of a batch that was not written and discards its intents. */
    void onAppendRefused(List<PendingRecord> batch) {
        DeferredCompletions completions = new DeferredCompletions();
        update(completions, () -> {
            for (int index = batch.size() - 1; index >= 0; index--) {
                PendingRecord item = batch.get(index);
                if (!item.isIntent()) {
                    pending.requeueFirst(item);
                } else if (entryOf(item).state == State.PENDING) {
                    discard(entryOf(item), completions);
                }
            }
            return null;
        });
    }

    /**
     * Clears the table when the ownership of the shard changes. Fails the pending outcomes and withdrawals and the
     * batch being written, and ends the wait of all begin requests.
     */
    void clear(List<PendingRecord> batch) {
        DeferredCompletions completions = new DeferredCompletions();
        List<PendingRecord> failed = new ArrayList<>(batch);
        update(completions, () -> {
            failed.addAll(pending.clear());
            for (OperationEntry entry : entries.values()) {
                BeginResult result =
                        entry.state == State.PENDING ? BeginResult.Unavailable.MOVED : new BeginResult.InDoubt();
                entry.removeWaiters().forEach(waiter -> completions.add(waiter.result(), result));
            }
            entries.clear();
            return null;
        });
        failed.forEach(item -> item.durable().completeExceptionally(new ShardFencedException()));
    }

    /** Loads the records written by earlier owners. */
    void load(List<OpenResult.LoadedSegment> segments) {
        lock.run(() -> segments.forEach(segment -> segment.records().forEach(item -> replay(item, segment.number()))));
    }

    private void replay(JournalRecord item, long segment) {
        OperationId id = OperationId.of(item.key());
        if (item instanceof JournalRecord.Withdrawal) {
            OperationEntry entry = entries.get(id);
            if (entry != null && entry.attemptId.equals(item.attemptId()) && !entry.hasRun()) {
                entries.remove(id);
            }
            return;
        }
        OperationEntry existing = entries.get(id);
        boolean alreadyRan = existing != null && existing.hasRun() && existing.attemptId.equals(item.attemptId());
        if (item instanceof JournalRecord.Intent && alreadyRan) {
            return;
        }
        entries.put(id, OperationEntry.of(item, segment));
    }

    /**
     * Returns the unresolved intents of the segments up to a number, which must be written again before these segments
     * are deleted, and removes expired operations.
     */
    List<JournalRecord> recordsToCarryOver(long lastSegment) {
        return lock.call(() -> {
            List<JournalRecord> intents = new ArrayList<>();
            entries.values().removeIf(this::isExpired);
            for (OperationEntry entry : entries.values()) {
                if (entry.isUnresolved() && entry.segment <= lastSegment) {
                    intents.add(new JournalRecord.Intent(entry.key, entry.attemptId));
                }
            }
            return intents;
        });
    }

    /** Returns the state of an operation, empty if the table does not hold it. */
    Optional<State> stateOf(OperationKey key) {
        return lock.call(
                () -> Optional.ofNullable(entries.get(OperationId.of(key))).map(entry -> entry.state));
    }
}
