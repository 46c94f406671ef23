package io.lagoonseam.core.placement;

import io.lagoonseam.core.lock.LockRank;
import io.lagoonseam.core.lock.RankedLock;
import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.core.platform.ReadResult;
import io.lagoonseam.core.platform.WriteCondition;
import io.lagoonseam.core.platform.WriteResult;
import io.lagoonseam.core.time.TimeSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * Takes, renews and gives up one lease on the platform. No clock is compared between nodes: a holder counts its lease
 * from before it sent the renewal, a candidate from when it first saw the version that did not change. The fencing
 * number rises by a conditional update with each new holder. Called by {@link #tick()} at short intervals.
 */
public final class LeaseKeeper {

    private final RankedLock lock = new RankedLock(LockRank.PLACEMENT);
    private final ObjectStore store;
    private final LeaseCodec codec;
    private final TimeSource time;
    private final LeaseOptions options;
    private final String objectName;
    private final String nodeId;
    private final Supplier<String> tokens;
    private boolean callOutstanding;
    private long nextCallMillis;
    private long observedVersion = -1;
    private long observedSinceMillis;
    private LeaseRecord held;
    private long heldVersion;
    private long validUntilMillis;

    /**
     * Creates a keeper that holds nothing.
     *
     * @param environment what it works with
     * @param service the service whose lease it keeps
     * @param nodeId this node
     */
    public LeaseKeeper(PlacementEnvironment environment, String service, String nodeId) {
        this.store = environment.store();
        this.codec = environment.leaseCodec();
        this.time = environment.time();
        this.options = environment.leaseOptions();
        this.tokens = environment.tokens();
        this.objectName = "placement/leases/" + service;
        this.nodeId = nodeId;
    }

    /**
     * Returns the lease, if this node holds it now.
     *
     * @return the lease, or empty
     */
    public Optional<HeldLease> held() {
        return lock.call(() -> {
            if (held == null || time.monotonicMillis() >= validUntilMillis) {
                return Optional.empty();
            }
            return Optional.of(new HeldLease(held.fencing(), validUntilMillis));
        });
    }

    /**
     * Makes the next call to the platform if one is due.
     *
     * @return completes when that call has been dealt with
     */
    public CompletionStage<Void> tick() {
        boolean renews = lock.call(() -> held != null);
        boolean due = lock.call(() -> {
            if (callOutstanding || time.monotonicMillis() < nextCallMillis) {
                return false;
            }
            callOutstanding = true;
            return true;
        });
        if (!due) {
            return CompletableFuture.completedFuture(null);
        }
        CompletionStage<Void> call = renews ? renew() : observe();
        return call.whenComplete((done, failure) -> lock.run(() -> callOutstanding = false));
    }

    /**
     * Gives the lease up, so that another node may take it at once.
     *
     * @return completes when the platform was told, or could not be
     */
    public CompletionStage<Void> release() {
        LeaseRecord releasing = lock.call(() -> {
            LeaseRecord before = held;
            held = null;
            return before;
        });
        if (releasing == null) {
            return CompletableFuture.completedFuture(null);
        }
        LeaseRecord released = new LeaseRecord("", releasing.fencing(), tokens.get(), options.durationMillis());
        return store.write(objectName, codec.encode(released), new WriteCondition.IfVersion(heldVersion))
                .thenApply(result -> null);
    }

    private CompletionStage<Void> renew() {
        LeaseRecord renewed =
                new LeaseRecord(nodeId, lock.call(() -> held.fencing()), tokens.get(), options.durationMillis());
        return write(renewed, new WriteCondition.IfVersion(lock.call(() -> heldVersion)));
    }

    private CompletionStage<Void> observe() {
        return store.read(objectName).thenCompose(this::observed);
    }

    private CompletionStage<Void> observed(ReadResult read) {
        if (read instanceof ReadResult.Absent) {
            return write(newLease(1), new WriteCondition.IfAbsent());
        }
        if (!(read instanceof ReadResult.Found found)) {
            return pause(options.observeMillis());
        }
        LeaseRecord record = codec.decode(found.value());
        boolean expired = lock.call(() -> {
            if (observedVersion != found.version()) {
                observedVersion = found.version();
                observedSinceMillis = time.monotonicMillis();
            }
            long waitedMillis = time.monotonicMillis() - observedSinceMillis;
            return waitedMillis >= record.durationMillis() + options.marginMillis();
        });
        if (record.isReleased() || expired) {
            return write(newLease(record.fencing() + 1), new WriteCondition.IfVersion(found.version()));
        }
        return pause(options.observeMillis());
    }

    private LeaseRecord newLease(long fencing) {
        return new LeaseRecord(nodeId, fencing, tokens.get(), options.durationMillis());
    }

    private CompletionStage<Void> write(LeaseRecord record, WriteCondition condition) {
        long sentMillis = time.monotonicMillis();
        return store.write(objectName, codec.encode(record), condition)
                .thenCompose(result -> written(record, sentMillis, result));
    }

    private CompletionStage<Void> written(LeaseRecord record, long sentMillis, WriteResult result) {
        if (result instanceof WriteResult.Written written) {
            return hold(record, written.version(), sentMillis);
        }
        if (result instanceof WriteResult.Conflict) {
            return lose();
        }
        if (result instanceof WriteResult.Unknown) {
            return store.read(objectName).thenCompose(read -> settle(record, sentMillis, read));
        }
        return pause(options.observeMillis());
    }

    /** Looks for the writer's own token after a lost answer. */
    private CompletionStage<Void> settle(LeaseRecord record, long sentMillis, ReadResult read) {
        if (!(read instanceof ReadResult.Found found)) {
            return pause(options.observeMillis());
        }
        if (codec.decode(found.value()).token().equals(record.token())) {
            return hold(record, found.version(), sentMillis);
        }
        LeaseRecord now = codec.decode(found.value());
        boolean stillOwn = lock.call(() -> held != null && now.token().equals(held.token()));
        return stillOwn ? pause(options.observeMillis()) : lose();
    }

    private CompletionStage<Void> hold(LeaseRecord record, long version, long sentMillis) {
        lock.run(() -> {
            held = record;
            heldVersion = version;
            validUntilMillis = sentMillis + options.durationMillis() - options.marginMillis();
        });
        return pause(options.renewMillis());
    }

    private CompletionStage<Void> lose() {
        lock.run(() -> {
            held = null;
            observedVersion = -1;
        });
        return pause(options.observeMillis());
    }

    private CompletionStage<Void> pause(long millis) {
        lock.run(() -> nextCallMillis = time.monotonicMillis() + millis);
        return CompletableFuture.completedFuture(null);
    }
}
