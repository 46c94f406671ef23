package io.lagoonseam.entry.configuration.fleet;

import io.lagoonseam.core.platform.FakeObjectStore;
import io.lagoonseam.core.platform.ListResult;
import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.core.platform.ReadResult;
import io.lagoonseam.core.platform.WatchResult;
import io.lagoonseam.core.platform.WriteCondition;
import io.lagoonseam.core.platform.WriteResult;
import io.lagoonseam.entry.configuration.ConfigurationStore;
import io.lagoonseam.entry.configuration.Manifest;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * One client's way to the platform: slow, cut off, or losing answers of writes that take effect now, later or never.
 */
public final class FaultyStore implements ObjectStore {

    private static final long WATCH_STEP_MILLIS = 20;
    private static final long CLIENT_TIMEOUT_MILLIS = 4_000;
    private static final long LOST_MILLIS = 3_000;

    private final FakeObjectStore delegate;
    private final VirtualTime time;
    private final Random random;
    private final List<Manifest> accepted;
    private boolean cutOff;
    private boolean silent;
    private double loseShare;
    private long slowMillis;

    /**
     * Creates a way to the platform.
     *
     * @param delegate the platform
     * @param time the clock
     * @param random the source of latencies and faults
     * @param accepted the oracle's list of manifests, to which each that takes effect is added
     */
    public FaultyStore(FakeObjectStore delegate, VirtualTime time, Random random, List<Manifest> accepted) {
        this.delegate = delegate;
        this.time = time;
        this.random = random;
        this.accepted = accepted;
    }

    public void cutOff(boolean value) {
        cutOff = value;
    }

    /** Lets calls go unanswered until the client's time limit. */
    public void silent(boolean value) {
        silent = value;
    }

    public void loseAnswers(double share) {
        loseShare = share;
    }

    public void slow(long millis) {
        slowMillis = millis;
    }

    private long latencyMillis() {
        return 1 + random.nextInt(4) + slowMillis;
    }

    private <T> CompletionStage<T> answerLater(CompletionStage<T> answer, T refused) {
        CompletableFuture<T> result = new CompletableFuture<>();
        if (silent) {
            time.schedule(CLIENT_TIMEOUT_MILLIS, () -> result.complete(refused));
            return result;
        }
        time.schedule(
                latencyMillis(),
                () -> result.complete(
                        cutOff ? refused : answer.toCompletableFuture().join()));
        return result;
    }

    @Override
    public CompletionStage<ReadResult> read(String name) {
        return answerLater(delegate.read(name), new ReadResult.Unavailable("cut off"));
    }

    @Override
    public CompletionStage<WriteResult> write(String name, byte[] value, WriteCondition condition) {
        CompletableFuture<WriteResult> result = new CompletableFuture<>();
        if (random.nextDouble() < loseShare) {
            if (random.nextInt(3) > 0) {
                time.schedule(random.nextInt((int) (2 * LOST_MILLIS)), () -> effect(name, value, condition));
            }
            time.schedule(LOST_MILLIS, () -> result.complete(new WriteResult.Unknown("answer lost")));
            return result;
        }
        time.schedule(latencyMillis(), () -> {
            WriteResult written = cutOff ? new WriteResult.Unavailable("cut off") : effect(name, value, condition);
            time.schedule(latencyMillis(), () -> result.complete(written));
        });
        return result;
    }

    private WriteResult effect(String name, byte[] value, WriteCondition condition) {
        WriteResult written =
                delegate.write(name, value, condition).toCompletableFuture().join();
        if (name.equals(ConfigurationStore.MANIFEST) && written instanceof WriteResult.Written) {
            accepted.add(Manifest.parse(value));
        }
        return written;
    }

    @Override
    public CompletionStage<WriteResult> delete(String name, WriteCondition condition) {
        return delegate.delete(name, condition);
    }

    @Override
    public CompletionStage<ListResult> list(String prefix) {
        return answerLater(delegate.list(prefix), new ListResult.Unavailable("cut off"));
    }

    @Override
    public CompletionStage<WatchResult> watch(String prefix, long afterRevision, long timeoutMillis) {
        CompletableFuture<WatchResult> result = new CompletableFuture<>();
        time.schedule(latencyMillis(), () -> poll(prefix, afterRevision, timeoutMillis, result));
        return result;
    }

    private void poll(String prefix, long after, long leftMillis, CompletableFuture<WatchResult> result) {
        if (silent) {
            time.schedule(CLIENT_TIMEOUT_MILLIS, () -> result.complete(new WatchResult.Unavailable("silent")));
            return;
        }
        if (cutOff) {
            result.complete(new WatchResult.Unavailable("cut off"));
            return;
        }
        WatchResult now = delegate.watch(prefix, after, 0).toCompletableFuture().join();
        boolean waits =
                now instanceof WatchResult.Changed changed && changed.changes().isEmpty();
        if (!waits || leftMillis <= 0) {
            result.complete(
                    now instanceof WatchResult.Changed changed
                            ? new WatchResult.Changed(changed.revision(), new ArrayList<>(changed.changes()))
                            : now);
            return;
        }
        time.schedule(WATCH_STEP_MILLIS, () -> poll(prefix, after, leftMillis - WATCH_STEP_MILLIS, result));
    }
}
