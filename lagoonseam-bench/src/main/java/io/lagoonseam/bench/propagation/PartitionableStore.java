package io.lagoonseam.bench.propagation;

import io.lagoonseam.core.platform.ListResult;
import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.core.platform.ReadResult;
import io.lagoonseam.core.platform.WatchResult;
import io.lagoonseam.core.platform.WriteCondition;
import io.lagoonseam.core.platform.WriteResult;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;

/** Delegates to an object store, counts the calls and can simulate a network partition between caller and store. */
final class PartitionableStore implements ObjectStore {

    private static final String PARTITION_REASON = "cut off";

    private final ObjectStore delegate;
    private final AtomicLong calls;
    private volatile boolean partitioned;

    PartitionableStore(ObjectStore delegate, AtomicLong calls) {
        this.delegate = delegate;
        this.calls = calls;
    }

    void setPartitioned(boolean value) {
        partitioned = value;
    }

    @Override
    public CompletionStage<ReadResult> read(String name) {
        calls.incrementAndGet();
        return partitioned
                ? CompletableFuture.completedFuture(new ReadResult.Unavailable(PARTITION_REASON))
                : delegate.read(name);
    }

    @Override
    public CompletionStage<WriteResult> write(String name, byte[] value, WriteCondition condition) {
        calls.incrementAndGet();
        return partitioned
                ? CompletableFuture.completedFuture(new WriteResult.Unavailable(PARTITION_REASON))
                : delegate.write(name, value, condition);
    }

    @Override
    public CompletionStage<WriteResult> delete(String name, WriteCondition condition) {
        calls.incrementAndGet();
        return partitioned
                ? CompletableFuture.completedFuture(new WriteResult.Unavailable(PARTITION_REASON))
                : delegate.delete(name, condition);
    }

    @Override
    public CompletionStage<ListResult> list(String prefix) {
        calls.incrementAndGet();
        return partitioned
                ? CompletableFuture.completedFuture(new ListResult.Unavailable(PARTITION_REASON))
                : delegate.list(prefix);
    }

    @Override
    public CompletionStage<WatchResult> watch(String prefix, long afterRevision, long timeoutMillis) {
        calls.incrementAndGet();
        if (partitioned) {
            return CompletableFuture.completedFuture(new WatchResult.Unavailable(PARTITION_REASON));
        }
        return delegate.watch(prefix, afterRevision, timeoutMillis)
                .thenApply(result -> partitioned ? new WatchResult.Unavailable(PARTITION_REASON) : result);
    }
}
