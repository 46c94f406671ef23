package io.lagoonseam.core.operation.internal;

import io.lagoonseam.core.operation.JournalOptions;
import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.core.platform.ReadResult;
import io.lagoonseam.core.platform.WriteCondition;
import io.lagoonseam.core.platform.WriteResult;
import io.lagoonseam.core.retry.JitteredBackoff;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.core.time.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongFunction;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * The objects of one shard on the platform. The version of the head is the fence: a write takes effect only if nobody
 * else has written since. Callers make one call at a time.
 */
final class ShardLog {

    private static final long BACKOFF_BASE_MILLIS = 100;
    private static final long BACKOFF_CAP_MILLIS = 2_000;

    private final String name;
    private final String owner;
    private final ObjectStore store;
    private final TimeSource time;
    private final Timers timers;
    private final RandomGenerator random;
    private final JournalOptions options;
    private final JitteredBackoff backoff;
    private volatile ShardHead head = ShardHead.EMPTY;
    private volatile long version;

    ShardLog(
            String name,
            String owner,
            ObjectStore store,
            TimeSource time,
            Timers timers,
            RandomGenerator random,
            JournalOptions options) {
        this.name = name;
        this.owner = owner;
        this.store = store;
        this.time = time;
        this.timers = timers;
        this.random = random;
        this.options = options;
        this.backoff = new JitteredBackoff(BACKOFF_BASE_MILLIS, BACKOFF_CAP_MILLIS, random);
    }

    private String newToken() {
        return owner + '-' + Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
    }

    /**
     * Takes the shard over and reads what it holds.
     *
     * @param yieldsTo whether an owner that is found is left alone
     */
    CompletionStage<OpenResult> open(Predicate<String> yieldsTo) {
        return store.read(name).thenCompose(read -> {
            if (read instanceof ReadResult.Found found) {
                ShardHead stored = ShardHead.decode(found.value());
                return yieldsTo.test(stored.owner())
                        ? CompletableFuture.completedFuture(new OpenResult.Held(stored.owner()))
                        : takeOver(stored, new WriteCondition.IfVersion(found.version()));
            }
            if (read instanceof ReadResult.Absent) {
                return takeOver(ShardHead.EMPTY, new WriteCondition.IfAbsent());
            }
            return CompletableFuture.completedFuture(new OpenResult.Failed());
        });
    }

    private CompletionStage<OpenResult> takeOver(ShardHead found, WriteCondition condition) {
        ShardHead next = found.ownedBy(owner, newToken());
        return put(next, condition).thenCompose(result -> {
            if (result instanceof AppendResult.Appended) {
                return load(0, new ArrayList<>());
            }
            return CompletableFuture.completedFuture(new OpenResult.Failed());
        });
    }

    private CompletionStage<OpenResult> load(int index, List<OpenResult.LoadedSegment> loaded) {
        if (index == head.sealed().size()) {
            loaded.add(new OpenResult.LoadedSegment(head.openNumber(), RecordCodec.decode(head.open())));
            return CompletableFuture.completedFuture(new OpenResult.Opened(loaded));
        }
        ShardHead.Segment segment = head.sealed().get(index);
        return store.read(segment.objectName()).thenCompose(read -> {
            if (read instanceof ReadResult.Found found) {
                loaded.add(new OpenResult.LoadedSegment(segment.number(), RecordCodec.decode(found.value())));
                return load(index + 1, loaded);
            }
            return CompletableFuture.completedFuture(new OpenResult.Failed());
        });
    }

    /**
     * Makes records durable.
     *
     * @param records the encoded records
     * @param carried gives the encoded records that must outlive the segments up to a number
     */
    CompletionStage<AppendResult> append(byte[] records, LongFunction<byte[]> carried) {
        if (head.open().length == 0 || head.open().length + records.length <= options.openSegmentBytes()) {
            return put(head.append(newToken(), records), new WriteCondition.IfVersion(version));
        }
        String segmentName = name + "-segment-" + head.epoch() + '-' + newToken();
        return store.write(segmentName, head.open(), new WriteCondition.Always())
                .thenCompose(result -> result instanceof WriteResult.Written
                        ? appendSealed(segmentName, records, carried)
                        : CompletableFuture.completedFuture(new AppendResult.Refused()));
    }

    private CompletionStage<AppendResult> appendSealed(
            String segmentName, byte[] records, LongFunction<byte[]> carried) {
        long nowMillis = time.wallMillis();
        long oldestMillis = nowMillis - options.retentionMillis().getAsLong();
        List<ShardHead.Segment> kept = new ArrayList<>();
        List<ShardHead.Segment> dropped = new ArrayList<>();
        for (ShardHead.Segment segment : head.sealed()) {
            boolean expired = kept.isEmpty() && segment.sealedAtMillis() < oldestMillis;
            (expired ? dropped : kept).add(segment);
        }
        kept.add(new ShardHead.Segment(head.openNumber(), segmentName, nowMillis));
        ShardHead next = head.seal(kept);
        if (!dropped.isEmpty()) {
            long last = dropped.get(dropped.size() - 1).number();
            next = next.append("", carried.apply(last));
        }
        return put(next.append(newToken(), records), new WriteCondition.IfVersion(version))
                .whenComplete((result, failure) -> {
                    if (result instanceof AppendResult.Appended) {
                        dropped.forEach(segment -> store.delete(segment.objectName(), new WriteCondition.Always()));
                    }
                });
    }

    /** Finds out whether another owner has taken the shard over; empty if not, or if the platform does not say. */
    CompletionStage<Optional<AppendResult.Fenced>> findSuccessor() {
        long epoch = head.epoch();
        return store.read(name).thenApply(read -> {
            if (!(read instanceof ReadResult.Found found)) {
                return Optional.empty();
            }
            ShardHead stored = ShardHead.decode(found.value());
            return stored.epoch() > epoch ? Optional.of(new AppendResult.Fenced(stored.owner())) : Optional.empty();
        });
    }

    private CompletionStage<AppendResult> put(ShardHead next, WriteCondition condition) {
        return store.write(name, next.encode(), condition).thenCompose(result -> {
            if (result instanceof WriteResult.Written written) {
                return accepted(next, written.version());
            }
            if (result instanceof WriteResult.Unavailable) {
                return CompletableFuture.completedFuture(new AppendResult.Refused());
            }
            return settle(next, condition, 0);
        });
    }

    private CompletionStage<AppendResult> accepted(ShardHead next, long newVersion) {
        head = next;
        version = newVersion;
        return CompletableFuture.completedFuture(new AppendResult.Appended(next.openNumber()));
    }

    /** Finds out by the writer's token whether a write took effect, and repeats it while that is open. */
    private CompletionStage<AppendResult> settle(ShardHead next, WriteCondition condition, int failures) {
        return store.read(name).thenCompose(read -> {
            if (read instanceof ReadResult.Found found) {
                ShardHead stored = ShardHead.decode(found.value());
                if (stored.token().equals(next.token())) {
                    return accepted(next, found.version());
                }
                if (!condition.equals(new WriteCondition.IfVersion(found.version()))) {
                    return CompletableFuture.completedFuture(new AppendResult.Fenced(stored.owner()));
                }
                return repeat(next, condition, failures);
            }
            if (read instanceof ReadResult.Absent) {
                return condition instanceof WriteCondition.IfAbsent
                        ? repeat(next, condition, failures)
                        : CompletableFuture.completedFuture(new AppendResult.Fenced(""));
            }
            return later(failures, () -> settle(next, condition, failures + 1));
        });
    }

    private CompletionStage<AppendResult> repeat(ShardHead next, WriteCondition condition, int failures) {
        return later(
                failures,
                () -> store.write(name, next.encode(), condition).thenCompose(result -> {
                    if (result instanceof WriteResult.Written written) {
                        return accepted(next, written.version());
                    }
                    return settle(next, condition, failures + 1);
                }));
    }

    private CompletionStage<AppendResult> later(int failures, Supplier<CompletionStage<AppendResult>> action) {
        CompletableFuture<AppendResult> promise = new CompletableFuture<>();
        timers.schedule(
                backoff.delayMillis(failures),
                () -> action.get().whenComplete((result, failure) -> promise.complete(result)));
        return promise;
    }
}
