package io.lagoonseam.core.operation.internal;

import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.lock.LockRank;
import io.lagoonseam.core.lock.RankedLock;
import io.lagoonseam.core.operation.BeginRequest;
import io.lagoonseam.core.operation.BeginResult;
import io.lagoonseam.core.operation.JournalOptions;
import io.lagoonseam.core.operation.OperationKey;
import io.lagoonseam.core.operation.RecordedAnswer;
import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.core.retry.JitteredBackoff;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.core.time.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * A journal shard at one node. The node takes over the shard on first use, writes records in batches and releases the
 * shard when another node has fenced it.
 */
public final class JournalShard {

    /** The number of write intervals that an idle shard saves up for a burst of writes. */
    private static final int BURST_WRITES = 3;

    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final long BACKOFF_BASE_MILLIS = 200;
    private static final long BACKOFF_CAP_MILLIS = 2_000;

    private enum Phase {
        NOT_OWNED,
        TAKING_OVER,
        OWNED,
        RELEASING
    }

    private enum OpenOutcome {
        OWNED,
        MOVED,
        UNAVAILABLE
    }

    private final RankedLock lock = new RankedLock(LockRank.JOURNAL);
    private final List<CompletableFuture<OpenOutcome>> openWaiters = new ArrayList<>();
    private final TimeSource time;
    private final Timers timers;
    private final JournalOptions options;
    private final ShardLog log;
    private final OperationTable table;
    private final JitteredBackoff backoff;
    private final OwnershipCallbacks ownership;
    private Phase phase = Phase.NOT_OWNED;
    private boolean writing;
    private boolean writeScheduled;
    private int failures;
    /** The monotonic time from which the next takeover or write is allowed. */
    private long nextCallMillis;

    /**
     * Creates a shard that this node does not own yet.
     *
     * @param number the number of the shard, from 0
     * @param owner the name of this node as an owner
     * @param environment the dependencies of the shard
     * @param ownership the callbacks about the owner of the shard
     */
    public JournalShard(int number, String owner, Environment environment, OwnershipCallbacks ownership) {
        this.time = environment.time();
        this.timers = environment.timers();
        this.options = environment.options();
        this.ownership = ownership;
        this.log = new ShardLog(
                "journal/shard-" + number, owner, environment.store(), time, timers, environment.random(), options);
        this.table = new OperationTable(time, environment.invariants(), options);
        this.backoff = new JitteredBackoff(BACKOFF_BASE_MILLIS, BACKOFF_CAP_MILLIS, environment.random());
        this.nextCallMillis = time.monotonicMillis();
    }

    /**
     * Callbacks between a shard and the shard routes of its node.
     *
     * @param respectsOwner returns whether to leave the shard with its current owner, given the owner's name
     * @param onOwnerChanged receives the name of another node that owns the shard, empty if unknown
     */
    public record OwnershipCallbacks(Predicate<String> respectsOwner, Consumer<String> onOwnerChanged) {}

    /**
     * The dependencies of a shard.
     *
     * @param store the object store of the platform
     * @param time the monotonic and the wall clock
     * @param timers schedules delayed tasks
     * @param random the source of write ids and backoff jitter
     * @param invariants checks invariants at run time
     * @param options the sizes and intervals of the journal
     */
    public record Environment(
            ObjectStore store,
            TimeSource time,
            Timers timers,
            RandomGenerator random,
            InvariantMonitor invariants,
            JournalOptions options) {}

    /**
     * Begins an operation, after taking over the shard if necessary.
     *
     * @param request the operation and the attempt
     * @return completes with the result
     */
    public CompletionStage<BeginResult> begin(BeginRequest request) {
        CompletableFuture<OpenOutcome> opened = new CompletableFuture<>();
        timers.schedule(request.waitMillis(), () -> opened.complete(OpenOutcome.UNAVAILABLE));
        open().thenAccept(opened::complete);
        return opened.thenCompose(access -> switch (access) {
            case OWNED -> beginOwned(request);
            case MOVED -> CompletableFuture.completedFuture(BeginResult.Unavailable.MOVED);
            case UNAVAILABLE -> CompletableFuture.completedFuture(unavailable());
        });
    }

    private static BeginResult unavailable() {
        return new BeginResult.Unavailable(RETRY_AFTER_MILLIS);
    }

    private CompletionStage<BeginResult> beginOwned(BeginRequest request) {
        CompletableFuture<BeginResult> begun = table.begin(request);
        if (!begun.isDone()) {
            timers.schedule(request.waitMillis(), () -> table.expire(request, begun));
            flush();
        }
        return begun.thenCompose(result ->
                result instanceof BeginResult.InDoubt ? confirmInDoubt() : CompletableFuture.completedFuture(result));
    }

    /** Checks for a newer owner before reporting an unknown outcome, since a newer owner may have recorded it. */
    private CompletionStage<BeginResult> confirmInDoubt() {
        return log.findSuccessor().thenApply(successor -> {
            if (successor.isEmpty()) {
                return new BeginResult.InDoubt();
            }
            boolean closing = lock.call(() -> {
                boolean owned = phase == Phase.OWNED && !writing;
                phase = owned ? Phase.RELEASING : phase;
                return owned;
            });
            if (closing) {
                release(List.of(), successor.get().owner());
            }
            return BeginResult.Unavailable.MOVED;
        });
    }

    /**
     * Records that an operation ran.
     *
     * @param key the operation
     * @param attemptId the attempt that ran it, empty if the upstream reported the outcome afterwards
     * @param answer the answer, empty if unknown
     * @return completes when the record is durable, or exceptionally if this node cannot make it durable
     */
    public CompletionStage<Void> complete(OperationKey key, String attemptId, Optional<RecordedAnswer> answer) {
        return whenOwned(owned -> owned.complete(key, attemptId, answer));
    }

    /**
     * Withdraws the intent of an attempt that has not sent the operation and will not send it.
     *
     * @param key the operation
     * @param attemptId the attempt
     * @return completes when the record is durable, or exceptionally if this node cannot make it durable
     */
    public CompletionStage<Void> withdraw(OperationKey key, String attemptId) {
        return whenOwned(owned -> owned.withdraw(key, attemptId));
    }

    /**
     * Marks the outcome of an attempt that ended without a known result as unknown, and ends the wait of other
     * attempts.
     *
     * @param key the operation
     * @param attemptId the attempt
     */
    public void leaveInDoubt(OperationKey key, String attemptId) {
        table.leaveInDoubt(key, attemptId);
    }

    private CompletionStage<Void> whenOwned(Function<OperationTable, CompletionStage<Void>> action) {
        return open().thenCompose(access -> {
            if (access != OpenOutcome.OWNED) {
                return CompletableFuture.failedFuture(new IllegalStateException(
                        "journal shard not opened: another node owns it or the platform is unavailable"));
            }
            CompletionStage<Void> durable = action.apply(table);
            flush();
            return durable;
        });
    }

    private CompletionStage<OpenOutcome> open() {
        CompletableFuture<OpenOutcome> opened = new CompletableFuture<>();
        boolean start = lock.call(() -> {
            if (phase == Phase.OWNED) {
                opened.complete(OpenOutcome.OWNED);
                return false;
            }
            boolean backingOff = failures > 0 && time.monotonicMillis() < nextCallMillis;
            if (phase == Phase.NOT_OWNED && backingOff) {
                opened.complete(OpenOutcome.UNAVAILABLE);
                return false;
            }
            openWaiters.add(opened);
            boolean first = phase == Phase.NOT_OWNED;
            if (first) {
                phase = Phase.TAKING_OVER;
            }
            return first;
        });
        if (start) {
            startOpening();
        }
        return opened;
    }

    /** Takes over the shard as soon as the write interval since the last call to the platform allows. */
    private void startOpening() {
        long waitMillis = lock.call(() -> {
            long remainingMillis = Math.max(0, nextCallMillis - time.monotonicMillis());
            nextCallMillis = time.monotonicMillis() + remainingMillis + options.writeIntervalMillis();
            return remainingMillis;
        });
        timers.schedule(
                waitMillis,
                () -> log.open(ownership.respectsOwner()).whenComplete((result, failure) -> onOpened(result)));
    }

    private void onOpened(OpenResult result) {
        boolean owned = result instanceof OpenResult.Opened;
        boolean held = result instanceof OpenResult.Held;
        if (result instanceof OpenResult.Held other) {
            ownership.onOwnerChanged().accept(other.owner());
        }
        if (result instanceof OpenResult.Opened opened) {
            table.clear(List.of());
            table.load(opened.segments());
        }
        List<CompletableFuture<OpenOutcome>> waiting = lock.call(() -> {
            phase = owned ? Phase.OWNED : Phase.NOT_OWNED;
            failures = owned || held ? 0 : failures + 1;
            if (failures > 0) {
                nextCallMillis = Math.max(nextCallMillis, time.monotonicMillis() + backoff.delayMillis(failures));
            }
            List<CompletableFuture<OpenOutcome>> copy = List.copyOf(openWaiters);
            openWaiters.clear();
            return copy;
        });
        OpenOutcome access = held ? OpenOutcome.MOVED : OpenOutcome.UNAVAILABLE;
        waiting.forEach(future -> future.complete(owned ? OpenOutcome.OWNED : access));
    }

    /** Writes the pending records, or schedules the write if the write interval has not passed yet. */
    private void flush() {
        boolean pending = table.hasPending();
        long waitMillis = lock.call(() -> {
            if (writing || writeScheduled || phase != Phase.OWNED || !pending) {
                return -1L;
            }
            long remainingMillis = nextCallMillis - time.monotonicMillis();
            writing = remainingMillis <= 0;
            writeScheduled = remainingMillis > 0;
            return Math.max(0, remainingMillis);
        });
        if (waitMillis == 0) {
            write();
        } else if (waitMillis > 0) {
            timers.schedule(waitMillis, () -> {
                lock.run(() -> writeScheduled = false);
                flush();
            });
        }
    }

    private void write() {
        List<PendingRecord> batch = table.takeBatch();
        if (batch.isEmpty()) {
            lock.run(() -> writing = false);
            return;
        }
        lock.run(() -> {
            long earliestMillis = time.monotonicMillis() - BURST_WRITES * options.writeIntervalMillis();
            nextCallMillis = Math.max(nextCallMillis, earliestMillis) + options.writeIntervalMillis();
        });
        byte[] records =
                RecordCodec.encode(batch.stream().map(PendingRecord::content).toList());
        log.append(records, lastSegment -> RecordCodec.encode(table.recordsToCarryOver(lastSegment)))
                .whenComplete((result, failure) -> onWritten(batch, result));
    }

    /**
     * Releases the shard. The phase stays RELEASING until the table is cleared, so the shard is not reopened earlier.
     */
    private void release(List<PendingRecord> batch, String owner) {
        ownership.onOwnerChanged().accept(owner);
        lock.run(() -> phase = Phase.RELEASING);
        table.clear(batch);
        boolean reopen = lock.call(() -> {
            phase = openWaiters.isEmpty() ? Phase.NOT_OWNED : Phase.TAKING_OVER;
            return phase == Phase.TAKING_OVER;
        });
        if (reopen) {
            startOpening();
        }
    }

    private void onWritten(List<PendingRecord> batch, HeadWriteResult result) {
        if (result instanceof HeadWriteResult.Written appended) {
            table.onAppended(batch, appended.segment());
        } else if (result instanceof HeadWriteResult.Fenced fenced) {
            release(batch, fenced.owner());
        } else {
            table.onAppendRefused(batch);
        }
        lock.run(() -> {
            writing = false;
            failures = result instanceof HeadWriteResult.Refused ? failures + 1 : 0;
            if (failures > 0) {
                nextCallMillis = Math.max(nextCallMillis, time.monotonicMillis() + backoff.delayMillis(failures));
            }
        });
        flush();
    }
}
