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
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * The operations of a shard that this node owns, and what is to be written next. Outcomes and withdrawals are written
 * before intents, and intents by tier.
 */
public final class OperationTable {

    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final int RECORD_OVERHEAD_BYTES = 64;
    private static final BeginResult.Unavailable UNAVAILABLE = new BeginResult.Unavailable(RETRY_AFTER_MILLIS);

    private record Binding(String workspace, String key) {
        private static Binding of(OperationKey key) {
            return new Binding(key.workspace(), key.key());
        }
    }

    private final RankedLock lock = new RankedLock(LockRank.JOURNAL);
    private final Map<Binding, OperationEntry> entries = new HashMap<>();
    private final Deque<PendingRecord> outcomes = new ArrayDeque<>();
    private final Map<Tier, Deque<PendingRecord>> intents = new EnumMap<>(Tier.class);
    private final TimeSource time;
    private final InvariantMonitor invariants;
    private final JournalOptions options;

    /**
     * Creates an empty table.
     *
     * @param time the clocks
     * @param invariants the checks at run time
     * @param options the sizes and times
     */
    public OperationTable(TimeSource time, InvariantMonitor invariants, JournalOptions options) {
        this.time = time;
        this.invariants = invariants;
        this.options = options;
        for (Tier tier : Tier.values()) {
            intents.put(tier, new ArrayDeque<>());
        }
    }

    /** Changes the table under its lock, then tells those who waited. */
    private <T> T change(Notices notices, Supplier<T> action) {
        T result = lock.call(action);
        notices.send();
        return result;
    }

    /**
     * Begins an operation or waits for the attempt in flight.
     *
     * @param request the operation and the attempt
     * @return what the table says, once it is known
     */
    public CompletableFuture<BeginResult> begin(BeginRequest request) {
        CompletableFuture<BeginResult> answer = new CompletableFuture<>();
        lock.call(() -> decide(request, answer)).ifPresent(answer::complete);
        return answer;
    }

    private Optional<BeginResult> decide(BeginRequest request, CompletableFuture<BeginResult> answer) {
        Binding binding = Binding.of(request.key());
        OperationEntry entry = entries.get(binding);
        if (entry != null && isExpired(entry)) {
            entries.remove(binding);
            entry = null;
        }
        Waiter waiter = new Waiter(request.attemptId(), answer);
        if (entry == null) {
            OperationEntry created =
                    new OperationEntry(request.key(), request.attemptId(), request.tier(), State.PENDING);
            created.waiters.add(waiter);
            entries.put(binding, created);
            intents.get(request.tier()).add(pending(new JournalRecord.Intent(request.key(), request.attemptId())));
            return Optional.empty();
        }
        return decideKnown(entry, waiter, request.key());
    }

    private static PendingRecord pending(JournalRecord content) {
        return new PendingRecord(content, new CompletableFuture<>());
    }

    private static Optional<BeginResult> decideKnown(OperationEntry entry, Waiter waiter, OperationKey key) {
        if (!entry.key.requestDigest().equals(key.requestDigest())) {
            return Optional.of(new BeginResult.Mismatched());
        }
        if (entry.hasRun()) {
            return Optional.of(entry.outcome());
        }
        boolean sameAttempt = entry.attemptId.equals(waiter.attemptId());
        if (sameAttempt && entry.state != State.PENDING) {
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
        long retentionMillis = options.retentionMillis().getAsLong();
        boolean durable = entry.outcomeDurable == null || entry.outcomeDurable.isDone();
        return entry.hasRun() && durable && entry.recordedAtMillis + retentionMillis < time.wallMillis();
    }

    /**
     * Ends a wait that took too long.
     *
     * @param request what was asked
     * @param answer what {@link #begin} returned
     */
    public void expire(BeginRequest request, CompletableFuture<BeginResult> answer) {
        Notices notices = new Notices();
        change(notices, () -> {
            OperationEntry entry = entries.get(Binding.of(request.key()));
            boolean waiting = entry != null
                    && entry.waiters.removeIf(waiter -> waiter.answer().equals(answer));
            if (!waiting) {
                return null;
            }
            boolean own = entry.state == State.PENDING && entry.attemptId.equals(request.attemptId());
            notices.add(answer, own ? UNAVAILABLE : new BeginResult.InDoubt());
            if (own && !entry.taken) {
                intents.get(entry.tier).removeIf(item -> item.content().key().equals(entry.key));
                discard(entry, notices);
            }
            return null;
        });
    }

    private void discard(OperationEntry entry, Notices notices) {
        entries.remove(Binding.of(entry.key));
        entry.takeWaiters().forEach(waiter -> notices.add(waiter.answer(), UNAVAILABLE));
    }

    /**
     * Takes the answer of an operation that ran.
     *
     * @param key the operation
     * @param attemptId the attempt that ran it, empty if the upstream reported it later
     * @param answer its answer, empty if that is not known
     * @return completes when the outcome is durable
     */
    public CompletionStage<Void> complete(OperationKey key, String attemptId, Optional<RecordedAnswer> answer) {
        Notices notices = new Notices();
        return change(notices, () -> {
            OperationEntry entry = entries.computeIfAbsent(
                    Binding.of(key), binding -> new OperationEntry(key, attemptId, Tier.STANDARD, State.IN_DOUBT));
            noteAttempt(entry, attemptId);
            Optional<RecordedAnswer> kept = answer.filter(this::isKept);
            boolean learnsNothing = entry.state == State.COMPLETED || entry.state == State.RAN && kept.isEmpty();
            if (!learnsNothing) {
                recordOutcome(entry, kept, notices);
            }
            return entry.outcomeDurable;
        });
    }

    private static void noteAttempt(OperationEntry entry, String attemptId) {
        if (entry.attemptId.isEmpty()) {
            entry.attemptId = attemptId;
        } else if (!attemptId.isEmpty() && !entry.attemptId.equals(attemptId)) {
            entry.otherAttempt = attemptId;
        }
    }

    /** Only a durable write shows that this table was not that of an owner already succeeded. */
    private void checkAttempt(OperationEntry entry) {
        invariants.check(
                Invariant.AT_MOST_ONCE,
                entry.otherAttempt.isEmpty(),
                "attempts " + entry.attemptId + " and " + entry.otherAttempt + " of " + entry.key.key());
    }

    private boolean isKept(RecordedAnswer answer) {
        return answer.body().length() <= options.answerMaxBytes().getAsInt();
    }

    private void recordOutcome(OperationEntry entry, Optional<RecordedAnswer> answer, Notices notices) {
        entry.recordedAtMillis = time.wallMillis();
        entry.answer = answer.orElse(null);
        entry.state = answer.isPresent() ? State.COMPLETED : State.RAN;
        JournalRecord content = answer.isPresent()
                ? new JournalRecord.Outcome(entry.key, entry.attemptId, entry.recordedAtMillis, entry.answer)
                : new JournalRecord.Ran(entry.key, entry.attemptId, entry.recordedAtMillis);
        PendingRecord pending = pending(content);
        entry.outcomeDurable = pending.durable();
        outcomes.add(pending);
        entry.takeWaiters().forEach(waiter -> notices.add(waiter.answer(), entry.outcome()));
    }

    /**
     * Frees the key of an attempt that sent nothing and will send nothing.
     *
     * @param key the operation
     * @param attemptId the attempt
     * @return completes when that is durable
     */
    public CompletionStage<Void> withdraw(OperationKey key, String attemptId) {
        Notices notices = new Notices();
        return change(notices, () -> {
            OperationEntry entry = entries.get(Binding.of(key));
            boolean held = entry != null && entry.attemptId.equals(attemptId) && !entry.hasRun();
            if (!held) {
                return CompletableFuture.completedFuture(null);
            }
            if (entry.state == State.PENDING) {
                return withdrawPending(entry, notices);
            }
            return withdrawDurable(entry, notices);
        });
    }

    private CompletionStage<Void> withdrawPending(OperationEntry entry, Notices notices) {
        if (entry.taken) {
            entry.waiters.removeIf(waiter -> waiter.attemptId().equals(entry.attemptId));
        } else {
            intents.get(entry.tier).removeIf(item -> item.content().key().equals(entry.key));
            discard(entry, notices);
        }
        return CompletableFuture.completedFuture(null);
    }

    private CompletionStage<Void> withdrawDurable(OperationEntry entry, Notices notices) {
        PendingRecord pending = pending(new JournalRecord.Withdrawal(entry.key, entry.attemptId));
        outcomes.add(pending);
        discard(entry, notices);
        return pending.durable();
    }

    /**
     * Ends the wait for an attempt whose outcome is not known.
     *
     * @param key the operation
     * @param attemptId the attempt
     */
    public void leaveInDoubt(OperationKey key, String attemptId) {
        Notices notices = new Notices();
        change(notices, () -> {
            OperationEntry entry = entries.get(Binding.of(key));
            if (entry != null && entry.state == State.IN_FLIGHT && entry.attemptId.equals(attemptId)) {
                entry.state = State.IN_DOUBT;
                entry.takeWaiters().forEach(waiter -> notices.add(waiter.answer(), new BeginResult.InDoubt()));
            }
            return null;
        });
    }

    boolean hasPending() {
        return lock.call(() -> !outcomes.isEmpty() || intents.values().stream().anyMatch(queue -> !queue.isEmpty()));
    }

    /** Takes what the next write is to hold. */
    List<PendingRecord> takeBatch() {
        return lock.call(() -> {
            List<PendingRecord> batch = new ArrayList<>();
            int room = drain(outcomes, batch, options.batchBytes());
            for (Deque<PendingRecord> queue : intents.values()) {
                room = drain(queue, batch, room);
            }
            batch.stream().filter(PendingRecord::isIntent).forEach(item -> entryOf(item).taken = true);
            return batch;
        });
    }

    private OperationEntry entryOf(PendingRecord item) {
        return entries.get(Binding.of(item.content().key()));
    }

    private static int drain(Deque<PendingRecord> queue, List<PendingRecord> batch, int room) {
        int left = room;
        while (left > 0 && !queue.isEmpty()) {
            PendingRecord next = queue.poll();
            batch.add(next);
            left -= sizeBytes(next.content());
        }
        return left;
    }

    private static int sizeBytes(JournalRecord content) {
        OperationKey key = content.key();
        int answerBytes = content instanceof JournalRecord.Outcome outcome
                ? outcome.answer().body().length()
                : 0;
        return RECORD_OVERHEAD_BYTES
                + key.key().length()
                + key.workspace().length()
                + key.requestDigest().length()
                + answerBytes;
    }

    /** Takes note that a batch is durable. */
    void appended(List<PendingRecord> batch, long segment) {
        Notices notices = new Notices();
        change(notices, () -> {
            batch.forEach(item -> {
                OperationEntry entry = entryOf(item);
                if (entry != null && entry.attemptId.equals(item.content().attemptId())) {
                    entry.segment = segment;
                    checkAttempt(entry);
                }
                if (item.isIntent()) {
                    intentDurable(entry, item, notices);
                }
            });
            return null;
        });
        batch.forEach(item -> item.durable().complete(null));
    }

    private void intentDurable(OperationEntry entry, PendingRecord item, Notices notices) {
        if (entry.state != State.PENDING) {
            return;
        }
        Optional<Waiter> own = entry.waiters.stream()
                .filter(waiter -> waiter.attemptId().equals(entry.attemptId))
                .findFirst();
        if (own.isEmpty()) {
            outcomes.add(pending(
                    new JournalRecord.Withdrawal(entry.key, item.content().attemptId())));
            discard(entry, notices);
            return;
        }
        entry.state = State.IN_FLIGHT;
        List<Waiter> others = new ArrayList<>();
        for (Waiter waiter : entry.takeWaiters()) {
            if (waiter.attemptId().equals(entry.attemptId)) {
                notices.add(waiter.answer(), new BeginResult.Started());
            } else {
                others.add(waiter);
            }
        }
        entry.waiters.addAll(others);
    }

    /** Takes note that a batch was not written. */
    void refused(List<PendingRecord> batch) {
        Notices notices = new Notices();
        change(notices, () -> {
            for (int index = batch.size() - 1; index >= 0; index--) {
                PendingRecord item = batch.get(index);
                if (!item.isIntent()) {
                    outcomes.addFirst(item);
                } else if (entryOf(item).state == State.PENDING) {
                    discard(entryOf(item), notices);
                }
            }
            return null;
        });
    }

    /** Forgets everything, since another owner has the shard; what was being written is failed, too. */
    void clear(List<PendingRecord> batch) {
        Notices notices = new Notices();
        List<PendingRecord> failed = new ArrayList<>(batch);
        change(notices, () -> {
            failed.addAll(outcomes);
            outcomes.clear();
            intents.values().forEach(Deque::clear);
            for (OperationEntry entry : entries.values()) {
                BeginResult word =
                        entry.state == State.PENDING ? BeginResult.Unavailable.MOVED : new BeginResult.InDoubt();
                entry.takeWaiters().forEach(waiter -> notices.add(waiter.answer(), word));
            }
            entries.clear();
            return null;
        });
        failed.forEach(item -> item.durable().completeExceptionally(new ShardFencedException()));
    }

    /** Takes over what an earlier owner recorded. */
    void load(List<OpenResult.LoadedSegment> segments) {
        lock.run(() -> segments.forEach(segment -> segment.records().forEach(item -> replay(item, segment.number()))));
    }

    private void replay(JournalRecord item, long segment) {
        Binding binding = Binding.of(item.key());
        if (item instanceof JournalRecord.Withdrawal) {
            OperationEntry held = entries.get(binding);
            if (held != null && held.attemptId.equals(item.attemptId()) && !held.hasRun()) {
                entries.remove(binding);
            }
            return;
        }
        OperationEntry known = entries.get(binding);
        boolean repeated = known != null && known.hasRun() && known.attemptId.equals(item.attemptId());
        if (item instanceof JournalRecord.Intent && repeated) {
            return;
        }
        OperationEntry entry = new OperationEntry(item.key(), item.attemptId(), Tier.STANDARD, State.IN_DOUBT);
        entry.segment = segment;
        entry.outcomeDurable = CompletableFuture.completedFuture(null);
        if (item instanceof JournalRecord.Outcome outcome) {
            entry.state = State.COMPLETED;
            entry.answer = outcome.answer();
            entry.recordedAtMillis = outcome.recordedAtMillis();
        } else if (item instanceof JournalRecord.Ran ran) {
            entry.state = State.RAN;
            entry.recordedAtMillis = ran.recordedAtMillis();
        }
        entries.put(binding, entry);
    }

    /** Returns the intents that must outlive the segments up to a number, and forgets what expired with them. */
    List<JournalRecord> carried(long lastSegment) {
        return lock.call(() -> {
            List<JournalRecord> carried = new ArrayList<>();
            entries.values().removeIf(this::isExpired);
            for (OperationEntry entry : entries.values()) {
                boolean durable = entry.outcomeDurable != null && entry.outcomeDurable.isDone();
                boolean unresolved = entry.state != State.PENDING && !(entry.hasRun() && durable);
                if (unresolved && entry.segment <= lastSegment) {
                    carried.add(new JournalRecord.Intent(entry.key, entry.attemptId));
                }
            }
            return carried;
        });
    }

    /** Returns the state of an operation, if the table holds it. */
    Optional<State> stateOf(OperationKey key) {
        return lock.call(() -> Optional.ofNullable(entries.get(Binding.of(key))).map(entry -> entry.state));
    }

    /**
     * Returns the number of operations that the table holds.
     *
     * @return operations of any state
     */
    public int size() {
        return lock.call(entries::size);
    }
}
