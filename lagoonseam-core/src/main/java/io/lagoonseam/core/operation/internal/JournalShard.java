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

/** One shard at one node: taken over when first needed, written in groups, given up when fenced. */
public final class JournalShard {

    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final long BACKOFF_BASE_MILLIS = 200;
    private static final long BACKOFF_CAP_MILLIS = 2_000;

    private enum Phase {
        CLOSED,
        OPENING,
        OWNED,
        CLOSING
    }

    private enum Access {
        OWNED,
        MOVED,
        REFUSED
    }

    private final RankedLock lock = new RankedLock(LockRank.JOURNAL);
    private final List<CompletableFuture<Access>> awaitingOpen = new ArrayList<>();
    private final TimeSource time;
    private final Timers timers;
    private final JournalOptions options;
    private final ShardLog log;
    private final OperationTable table;
    private final JitteredBackoff backoff;
    private final Places places;
    private Phase phase = Phase.CLOSED;
    private boolean writing;
    private boolean scheduled;
    private int failures;
    private long nextCallMillis;

    /**
     * Creates a shard that is not owned.
     *
     * @param number its number
     * @param owner this node
     * @param environment what the shard works with
     * @param places what this shard and its node's routes tell each other
     */
    public JournalShard(int number, String owner, Environment environment, Places places) {
        this.time = environment.time();
        this.timers = environment.timers();
        this.options = environment.options();
        this.places = places;
        this.log = new ShardLog(
                "journal/shard-" + number, owner, environment.store(), time, timers, environment.random(), options);
        this.table = new OperationTable(time, environment.invariants(), options);
        this.backoff = new JitteredBackoff(BACKOFF_BASE_MILLIS, BACKOFF_CAP_MILLIS, environment.random());
        this.nextCallMillis = time.monotonicMillis();
    }

    /**
     * What a shard and the routes of its node tell each other.
     *
     * @param yieldsTo whether an owner that is found is left alone
     * @param onMoved hears the owner that has the shard, empty if it is not known
     */
    public record Places(Predicate<String> yieldsTo, Consumer<String> onMoved) {}

    /**
     * What a shard works with.
     *
     * @param store the platform
     * @param time the clocks
     * @param timers runs what is to come later
     * @param random the source of tokens and jitter
     * @param invariants the checks at run time
     * @param options the sizes and times
     */
    public record Environment(
            ObjectStore store,
            TimeSource time,
            Timers timers,
            RandomGenerator random,
            InvariantMonitor invariants,
            JournalOptions options) {}

    /**
     * Begins an operation.
     *
     * @param request the operation and the attempt
     * @return what the journal says
     */
    public CompletionStage<BeginResult> begin(BeginRequest request) {
        CompletableFuture<Access> opened = new CompletableFuture<>();
        timers.schedule(request.waitMillis(), () -> opened.complete(Access.REFUSED));
        open().thenAccept(opened::complete);
        return opened.thenCompose(access -> switch (access) {
            case OWNED -> beginOwned(request);
            case MOVED -> CompletableFuture.completedFuture(BeginResult.Unavailable.MOVED);
            case REFUSED -> CompletableFuture.completedFuture(unavailable());
        });
    }

    private static BeginResult unavailable() {
        return new BeginResult.Unavailable(RETRY_AFTER_MILLIS);
    }

    private CompletionStage<BeginResult> beginOwned(BeginRequest request) {
        CompletableFuture<BeginResult> answer = table.begin(request);
        if (!answer.isDone()) {
            timers.schedule(request.waitMillis(), () -> table.expire(request, answer));
            flush();
        }
        return answer.thenCompose(result ->
                result instanceof BeginResult.InDoubt ? confirmDoubt() : CompletableFuture.completedFuture(result));
    }

    /** A later owner may know the outcome that this one doubts. */
    private CompletionStage<BeginResult> confirmDoubt() {
        return log.findSuccessor().thenApply(successor -> {
            if (successor.isEmpty()) {
                return new BeginResult.InDoubt();
            }
            boolean idle = lock.call(() -> {
                boolean owned = phase == Phase.OWNED && !writing;
                phase = owned ? Phase.CLOSING : phase;
                return owned;
            });
            if (idle) {
                giveUp(List.of(), successor.get().owner());
            }
            return BeginResult.Unavailable.MOVED;
        });
    }

    /**
     * Records that an operation ran.
     *
     * @param key the operation
     * @param attemptId the attempt that ran it, empty if the upstream reported it later
     * @param answer its answer, empty if that is not known
     * @return completes when that is durable, or exceptionally when this node cannot make it so
     */
    public CompletionStage<Void> complete(OperationKey key, String attemptId, Optional<RecordedAnswer> answer) {
        return whenOwned(owned -> owned.complete(key, attemptId, answer));
    }

    /**
     * Frees the key of an attempt that sent nothing and will send nothing.
     *
     * @param key the operation
     * @param attemptId the attempt
     * @return completes when that is durable, or exceptionally when this node cannot make it so
     */
    public CompletionStage<Void> withdraw(OperationKey key, String attemptId) {
        return whenOwned(owned -> owned.withdraw(key, attemptId));
    }

    /**
     * Ends the wait for an attempt whose outcome is not known.
     *
     * @param key the operation
     * @param attemptId the attempt
     */
    public void leaveInDoubt(OperationKey key, String attemptId) {
        table.leaveInDoubt(key, attemptId);
    }

    private CompletionStage<Void> whenOwned(Function<OperationTable, CompletionStage<Void>> action) {
        return open().thenCompose(access -> {
            if (access != Access.OWNED) {
                return CompletableFuture.failedFuture(new IllegalStateException("the shard cannot be opened now"));
            }
            CompletionStage<Void> durable = action.apply(table);
            flush();
            return durable;
        });
    }

    private CompletionStage<Access> open() {
        CompletableFuture<Access> opened = new CompletableFuture<>();
        boolean start = lock.call(() -> {
            if (phase == Phase.OWNED) {
                opened.complete(Access.OWNED);
                return false;
            }
            boolean backsOff = failures > 0 && time.monotonicMillis() < nextCallMillis;
            if (phase == Phase.CLOSED && backsOff) {
                opened.complete(Access.REFUSED);
                return false;
            }
            awaitingOpen.add(opened);
            boolean first = phase == Phase.CLOSED;
            if (first) {
                phase = Phase.OPENING;
            }
            return first;
        });
        if (start) {
            startOpening();
        }
        return opened;
    }

    /** Takes the shard over, not sooner after the last call than a write may follow another. */
    private void startOpening() {
        long waitMillis = lock.call(() -> {
            long left = Math.max(0, nextCallMillis - time.monotonicMillis());
            nextCallMillis = time.monotonicMillis() + left + options.writeIntervalMillis();
            return left;
        });
        timers.schedule(
                waitMillis, () -> log.open(places.yieldsTo()).whenComplete((result, failure) -> opened(result)));
    }

    private void opened(OpenResult result) {
        boolean owned = result instanceof OpenResult.Opened;
        boolean held = result instanceof OpenResult.Held;
        if (result instanceof OpenResult.Held other) {
            places.onMoved().accept(other.owner());
        }
        if (result instanceof OpenResult.Opened opened) {
            table.clear(List.of());
            table.load(opened.segments());
        }
        List<CompletableFuture<Access>> waiting = lock.call(() -> {
            phase = owned ? Phase.OWNED : Phase.CLOSED;
            failures = owned || held ? 0 : failures + 1;
            if (failures > 0) {
                nextCallMillis = Math.max(nextCallMillis, time.monotonicMillis() + backoff.delayMillis(failures));
            }
            List<CompletableFuture<Access>> copy = List.copyOf(awaitingOpen);
            awaitingOpen.clear();
            return copy;
        });
        Access access = held ? Access.MOVED : Access.REFUSED;
        waiting.forEach(future -> future.complete(owned ? Access.OWNED : access));
    }

    /** Writes what is pending, unless a write is under way or was made too recently. */
    private void flush() {
        boolean pending = table.hasPending();
        long waitMillis = lock.call(() -> {
            if (writing || scheduled || phase != Phase.OWNED || !pending) {
                return -1L;
            }
            long left = nextCallMillis - time.monotonicMillis();
            writing = left <= 0;
            scheduled = left > 0;
            return Math.max(0, left);
        });
        if (waitMillis == 0) {
            write();
        } else if (waitMillis > 0) {
            timers.schedule(waitMillis, () -> {
                lock.run(() -> scheduled = false);
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
        lock.run(() -> nextCallMillis = time.monotonicMillis() + options.writeIntervalMillis());
        byte[] records =
                RecordCodec.encode(batch.stream().map(PendingRecord::content).toList());
        log.append(records, last -> RecordCodec.encode(table.carried(last)))
                .whenComplete((result, failure) -> written(batch, result));
    }

    /** Nobody may open the shard again before the table is empty. */
    private void giveUp(List<PendingRecord> batch, String owner) {
        places.onMoved().accept(owner);
        lock.run(() -> phase = Phase.CLOSING);
        table.clear(batch);
        boolean wanted = lock.call(() -> {
            phase = awaitingOpen.isEmpty() ? Phase.CLOSED : Phase.OPENING;
            return phase == Phase.OPENING;
        });
        if (wanted) {
            startOpening();
        }
    }

    private void written(List<PendingRecord> batch, AppendResult result) {
        if (result instanceof AppendResult.Appended appended) {
            table.appended(batch, appended.segment());
        } else if (result instanceof AppendResult.Fenced fenced) {
            giveUp(batch, fenced.owner());
        } else {
            table.refused(batch);
        }
        lock.run(() -> {
            writing = false;
            failures = result instanceof AppendResult.Refused ? failures + 1 : 0;
            if (failures > 0) {
                nextCallMillis = Math.max(nextCallMillis, time.monotonicMillis() + backoff.delayMillis(failures));
            }
        });
        flush();
    }
}
