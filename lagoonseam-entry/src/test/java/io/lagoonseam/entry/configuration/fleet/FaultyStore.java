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
 * Simulates one client's connection to the platform, which can be slow or disconnected, or lose the responses to writes
 * that take effect at once, later or never.
 */
public final class FaultyStore implements ObjectStore {

    private static final long WATCH_POLL_MILLIS = 20;
    private static final long CLIENT_TIMEOUT_MILLIS = 4_000;
    private static final long LOST_RESPONSE_TIMEOUT_MILLIS = 3_000;

    private final FakeObjectStore delegate;
    private final VirtualTime time;
    private final Random random;
    private final List<Manifest> accepted;
    private boolean disconnected;
    private boolean unresponsive;
    private double lostResponseShare;
    private long extraLatencyMillis;

    /**
     * Creates a connection to the platform.
     *
     * @param delegate the platform
     * @param time the clock
     * @param random the source of latencies and faults
     * @param accepted the list to which each manifest that takes effect is added, as the reference for assertions
     */
    public FaultyStore(FakeObjectStore delegate, VirtualTime time, Random random, List<Manifest> accepted) {
        this.delegate = delegate;
        this.time = time;
        this.random = random;
        this.accepted = accepted;
    }

    /** Sets whether calls fail as unavailable, after the usual latency. */
    public void setDisconnected(boolean value) {
        disconnected = value;
    }

    /** Sets whether calls stay without a response until the client's timeout. */
    public void setUnresponsive(boolean value) {
        unresponsive = value;
    }

    /** Sets the share of writes whose response is lost, from 0 to 1. */
    public void setLostResponseShare(double share) {
        lostResponseShare = share;
    }

    /** Sets the latency that is added to each simulated transfer, in milliseconds. */
    public void setExtraLatencyMillis(long millis) {
        extraLatencyMillis = millis;
    }

    private long latencyMillis() {
        return 1 + random.nextInt(4) + extraLatencyMillis;
    }

    private <T> CompletionStage<T> respondLater(CompletionStage<T> answer, T failure) {
        CompletableFuture<T> result = new CompletableFuture<>();
        if (unresponsive) {
            time.schedule(CLIENT_TIMEOUT_MILLIS, () -> result.complete(failure));
            return result;
        }
        time.schedule(
                latencyMillis(),
                () -> result.complete(
                        disconnected ? failure : answer.toCompletableFuture().join()));
        return result;
    }

    @Override
    public CompletionStage<ReadResult> read(String name) {
        return respondLater(delegate.read(name), new ReadResult.Unavailable("disconnected"));
    }

    @Override
    public CompletionStage<WriteResult> write(String name, byte[] value, WriteCondition condition) {
        CompletableFuture<WriteResult> result = new CompletableFuture<>();
        if (random.nextDouble() < lostResponseShare) {
            if (random.nextInt(3) > 0) {
                time.schedule(
                        random.nextInt((int) (2 * LOST_RESPONSE_TIMEOUT_MILLIS)),
                        () -> applyWrite(name, value, condition));
            }
            time.schedule(
                    LOST_RESPONSE_TIMEOUT_MILLIS, () -> result.complete(new WriteResult.Unknown("response lost")));
            return result;
        }
        time.schedule(latencyMillis(), () -> {
            WriteResult written =
                    disconnected ? new WriteResult.Unavailable("disconnected") : applyWrite(name, value, condition);
            time.schedule(latencyMillis(), () -> result.complete(written));
        });
        return result;
    }

    private WriteResult applyWrite(String name, byte[] value, WriteCondition condition) {
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
        return respondLater(delegate.list(prefix), new ListResult.Unavailable("disconnected"));
    }

    @Override
    public CompletionStage<WatchResult> watch(String prefix, long afterRevision, long timeoutMillis) {
        CompletableFuture<WatchResult> result = new CompletableFuture<>();
        time.schedule(latencyMillis(), () -> poll(prefix, afterRevision, timeoutMillis, result));
        return result;
    }

    private void poll(String prefix, long after, long remainingMillis, CompletableFuture<WatchResult> result) {
        if (unresponsive) {
            time.schedule(CLIENT_TIMEOUT_MILLIS, () -> result.complete(new WatchResult.Unavailable("unresponsive")));
            return;
        }
        if (disconnected) {
            result.complete(new WatchResult.Unavailable("disconnected"));
            return;
        }
        WatchResult now = delegate.watch(prefix, after, 0).toCompletableFuture().join();
        boolean unchanged =
                now instanceof WatchResult.Changed changed && changed.changes().isEmpty();
        if (!unchanged || remainingMillis <= 0) {
            result.complete(
                    now instanceof WatchResult.Changed changed
                            ? new WatchResult.Changed(changed.revision(), new ArrayList<>(changed.changes()))
                            : now);
            return;
        }
        time.schedule(WATCH_POLL_MILLIS, () -> poll(prefix, after, remainingMillis - WATCH_POLL_MILLIS, result));
    }
}
