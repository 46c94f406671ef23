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
 * Reads and writes the objects of a shard on the platform. The version of the head object is the fencing token: a write
 * takes effect only if no other node has written the head since this node last read or wrote it. Not safe for
 * concurrent calls.
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

    private String newWriteId() {
        return owner + '-' + Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
    }

    /**
     * Takes over the shard and reads its records.
     *
     * @param respectsOwner returns whether to leave the shard with its current owner, given the owner's name
     */
    CompletionStage<OpenResult> open(Predicate<String> respectsOwner) {
        return store.read(name).thenCompose(read -> {
            if (read instanceof ReadResult.Found found) {
                ShardHead stored = ShardHead.decode(found.value());
                return respectsOwner.test(stored.owner())
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
        ShardHead next = found.withOwner(owner, newWriteId());
        return writeHead(next, condition).thenCompose(result -> {
            if (result instanceof HeadWriteResult.Written) {
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
     * Appends records durably, sealing the open segment if it would become too large.
     *
     * @param records the encoded records
     * @param carriedOver returns the encoded records that must be written again before the segments up to a given
     *     number are deleted
     */
    CompletionStage<HeadWriteResult> append(byte[] records, LongFunction<byte[]> carriedOver) {
        if (head.open().length == 0 || head.open().length + records.length <= options.openSegmentBytes()) {
            return writeHead(head.withAppended(newWriteId(), records), new WriteCondition.IfVersion(version));
        }
        String segmentName = name + "-segment-" + head.epoch() + '-' + newWriteId();
        return store.write(segmentName, head.open(), new WriteCondition.Always())
                .thenCompose(result -> result instanceof WriteResult.Written
                        ? appendSealed(segmentName, records, carriedOver)
                        : CompletableFuture.completedFuture(new HeadWriteResult.Refused()));
    }

    private CompletionStage<HeadWriteResult> appendSealed(
            String segmentName, byte[] records, LongFunction<byte[]> carriedOver) {
        long nowMillis = time.wallMillis();
        long oldestMillis = nowMillis - options.retentionMillis().getAsLong();
        List<ShardHead.Segment> retained = new ArrayList<>();
        List<ShardHead.Segment> expiredSegments = new ArrayList<>();
        for (ShardHead.Segment segment : head.sealed()) {
            boolean expired = retained.isEmpty() && segment.sealedAtMillis() < oldestMillis;
            (expired ? expiredSegments : retained).add(segment);
        }
        retained.add(new ShardHead.Segment(head.openNumber(), segmentName, nowMillis));
        ShardHead next = head.withSealedSegments(retained);
        if (!expiredSegments.isEmpty()) {
            long lastExpired = expiredSegments.get(expiredSegments.size() - 1).number();
            next = next.withAppended("", carriedOver.apply(lastExpired));
        }
        return writeHead(next.withAppended(newWriteId(), records), new WriteCondition.IfVersion(version))
                .whenComplete((result, failure) -> {
                    if (result instanceof HeadWriteResult.Written) {
                        expiredSegments.forEach(
                                segment -> store.delete(segment.objectName(), new WriteCondition.Always()));
                    }
                });
    }

    /** Returns the node that has taken over the shard from this one, empty if there is none or the read fails. */
    CompletionStage<Optional<HeadWriteResult.Fenced>> findSuccessor() {
        long epoch = head.epoch();
        return store.read(name).thenApply(read -> {
            if (!(read instanceof ReadResult.Found found)) {
                return Optional.empty();
            }
            ShardHead stored = ShardHead.decode(found.value());
            return stored.epoch() > epoch ? Optional.of(new HeadWriteResult.Fenced(stored.owner())) : Optional.empty();
        });
    }

    private CompletionStage<HeadWriteResult> writeHead(ShardHead next, WriteCondition condition) {
        return store.write(name, next.encode(), condition).thenCompose(result -> {
            if (result instanceof WriteResult.Written written) {
                return onWritten(next, written.version());
            }
            if (result instanceof WriteResult.Unavailable) {
                return CompletableFuture.completedFuture(new HeadWriteResult.Refused());
            }
            return resolveWrite(next, condition, 0);
        });
    }

    private CompletionStage<HeadWriteResult> onWritten(ShardHead next, long newVersion) {
        head = next;
        version = newVersion;
        return CompletableFuture.completedFuture(new HeadWriteResult.Written(next.openNumber()));
    }

    /**
     * Determines by its write id whether a write took effect after a lost response or a conflict, and retries it if the
     * head is unchanged.
     */
    private CompletionStage<HeadWriteResult> resolveWrite(ShardHead next, WriteCondition condition, int failures) {
        return store.read(name).thenCompose(read -> {
            if (read instanceof ReadResult.Found found) {
                ShardHead stored = ShardHead.decode(found.value());
                if (stored.writeId().equals(next.writeId())) {
                    return onWritten(next, found.version());
                }
                if (!condition.equals(new WriteCondition.IfVersion(found.version()))) {
                    return CompletableFuture.completedFuture(new HeadWriteResult.Fenced(stored.owner()));
                }
                return retryWrite(next, condition, failures);
            }
            if (read instanceof ReadResult.Absent) {
                return condition instanceof WriteCondition.IfAbsent
                        ? retryWrite(next, condition, failures)
                        : CompletableFuture.completedFuture(new HeadWriteResult.Fenced(""));
            }
            return scheduleRetry(failures, () -> resolveWrite(next, condition, failures + 1));
        });
    }

    private CompletionStage<HeadWriteResult> retryWrite(ShardHead next, WriteCondition condition, int failures) {
        return scheduleRetry(
                failures,
                () -> store.write(name, next.encode(), condition).thenCompose(result -> {
                    if (result instanceof WriteResult.Written written) {
                        return onWritten(next, written.version());
                    }
                    return resolveWrite(next, condition, failures + 1);
                }));
    }

    private CompletionStage<HeadWriteResult> scheduleRetry(
            int failures, Supplier<CompletionStage<HeadWriteResult>> action) {
        CompletableFuture<HeadWriteResult> promise = new CompletableFuture<>();
        timers.schedule(
                backoff.delayMillis(failures),
                () -> action.get().whenComplete((result, failure) -> promise.complete(result)));
        return promise;
    }
}
