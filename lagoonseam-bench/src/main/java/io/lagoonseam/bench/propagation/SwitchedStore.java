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

/** A way to the platform that can be cut off, with its calls counted. */
final class SwitchedStore implements ObjectStore {

    private static final String CUT_OFF = "cut off";

    private final ObjectStore delegate;
    private final AtomicLong calls;
    private volatile boolean cutOff;

    SwitchedStore(ObjectStore delegate, AtomicLong calls) {
        this.delegate = delegate;
        this.calls = calls;
    }

    void cutOff(boolean value) {
        cutOff = value;
    }

    @Override
    public CompletionStage<ReadResult> read(String name) {
        calls.incrementAndGet();
        return cutOff ? CompletableFuture.completedFuture(new ReadResult.Unavailable(CUT_OFF)) : delegate.read(name);
    }

    @Override
    public CompletionStage<WriteResult> write(String name, byte[] value, WriteCondition condition) {
        calls.incrementAndGet();
        return cutOff
                ? CompletableFuture.completedFuture(new WriteResult.Unavailable(CUT_OFF))
                : delegate.write(name, value, condition);
    }

    @Override
    public CompletionStage<WriteResult> delete(String name, WriteCondition condition) {
        calls.incrementAndGet();
        return cutOff
                ? CompletableFuture.completedFuture(new WriteResult.Unavailable(CUT_OFF))
                : delegate.delete(name, condition);
    }

    @Override
    public CompletionStage<ListResult> list(String prefix) {
        calls.incrementAndGet();
        return cutOff ? CompletableFuture.completedFuture(new ListResult.Unavailable(CUT_OFF)) : delegate.list(prefix);
    }

    @Override
    public CompletionStage<WatchResult> watch(String prefix, long afterRevision, long timeoutMillis) {
        calls.incrementAndGet();
        if (cutOff) {
            return CompletableFuture.completedFuture(new WatchResult.Unavailable(CUT_OFF));
        }
        return delegate.watch(prefix, afterRevision, timeoutMillis)
                .thenApply(result -> cutOff ? new WatchResult.Unavailable(CUT_OFF) : result);
    }
}
