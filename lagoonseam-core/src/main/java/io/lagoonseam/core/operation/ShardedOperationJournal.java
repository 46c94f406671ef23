package io.lagoonseam.core.operation;

import io.lagoonseam.core.membership.MemberDirectory;
import io.lagoonseam.core.operation.internal.JournalShard;
import io.lagoonseam.core.operation.internal.ShardRoutes;
import io.lagoonseam.core.retry.JitteredBackoff;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Operation journal that is split into a fixed number of shards, each stored as one journal object on the platform. The
 * owner of a shard writes its records in batches; other nodes send their requests to the owner. Any node may take over
 * a shard: the version of the journal object is the fencing token that stops the previous owner from writing.
 */
public final class ShardedOperationJournal implements OperationJournal {

    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final long FORWARD_TIMEOUT_MILLIS = 1_500;
    private static final long BACKOFF_BASE_MILLIS = 100;
    private static final long BACKOFF_CAP_MILLIS = 2_000;
    private static final int MAX_HOPS = 3;
    private static final int MAX_WITHDRAW_ATTEMPTS = 10;

    private final List<JournalShard> shards = new ArrayList<>();
    private final ShardRoutes routes;
    private final OwnerClient owners;
    private final JournalShard.Environment environment;
    private final JitteredBackoff backoff;
    private final AtomicInteger unrecordedCount = new AtomicInteger();

    /**
     * Creates the operation journal of a node.
     *
     * @param members the live members
     * @param owners sends requests to the owners of shards at other nodes
     * @param environment the dependencies of the shards
     */
    public ShardedOperationJournal(MemberDirectory members, OwnerClient owners, JournalShard.Environment environment) {
        int count = environment.options().shards();
        this.owners = owners;
        this.environment = environment;
        this.routes = new ShardRoutes(members, count);
        this.backoff = new JitteredBackoff(BACKOFF_BASE_MILLIS, BACKOFF_CAP_MILLIS, environment.random());
        for (int number = 0; number < count; number++) {
            int shard = number;
            shards.add(new JournalShard(
                    number,
                    routes.self(),
                    environment,
                    new JournalShard.OwnershipCallbacks(
                            owner -> routes.respectsOwner(shard, owner), owner -> routes.setKnownOwner(shard, owner))));
        }
    }

    /**
     * Returns the number of outcomes that this node has reported and that are not yet durable.
     *
     * @return the number of outcomes; returns to 0 once the platform is available and the writes are done
     */
    public int unrecordedOutcomes() {
        return unrecordedCount.get();
    }

    @Override
    public CompletionStage<BeginResult> begin(BeginRequest request) {
        return begin(request, true).thenApply(result -> {
            if (result instanceof BeginResult.Unavailable) {
                // The intent may be durable all the same; its withdrawal allows the key to be used again.
                makeDurable(new OperationMessage.Withdraw(request.key(), request.attemptId()), MAX_WITHDRAW_ATTEMPTS);
            }
            return result;
        });
    }

    private CompletionStage<BeginResult> begin(BeginRequest request, boolean mayRetry) {
        return sendToOwner(new OperationMessage.Begin(request), MAX_HOPS).thenCompose(reply -> {
            if (reply.isPresent() && reply.get() instanceof OperationReply.Began began) {
                return CompletableFuture.completedFuture(began.result());
            }
            return mayRetry
                    ? begin(request, false)
                    : CompletableFuture.completedFuture(new BeginResult.Unavailable(RETRY_AFTER_MILLIS));
        });
    }

    /** Sends a message to the presumed owner and follows its redirects, up to a maximum number of hops. */
    private CompletionStage<Optional<OperationReply>> sendToOwner(OperationMessage message, int remainingHops) {
        int shard = routes.shardOf(message.key());
        String owner = routes.ownerOf(shard);
        CompletionStage<Optional<OperationReply>> firstReply =
                owner.equals(routes.self()) ? handle(message).thenApply(Optional::of) : forward(shard, owner, message);
        return firstReply.thenCompose(reply -> {
            if (reply.isEmpty() || !(reply.get() instanceof OperationReply.Moved moved)) {
                return CompletableFuture.completedFuture(reply);
            }
            routes.setKnownOwner(shard, moved.owner());
            return remainingHops > 1
                    ? sendToOwner(message, remainingHops - 1)
                    : CompletableFuture.completedFuture(Optional.empty());
        });
    }

    /** Forwards a message to another node. If that node cannot be reached, this node takes over the shard. */
    private CompletionStage<Optional<OperationReply>> forward(int shard, String owner, OperationMessage message) {
        return owners.forward(owner, message, FORWARD_TIMEOUT_MILLIS).thenCompose(result -> {
            if (result.sent()) {
                routes.recordReply(shard, result.reply().isPresent());
                return CompletableFuture.completedFuture(result.reply());
            }
            routes.takeOver(shard);
            return handle(message).thenApply(Optional::of);
        });
    }

    /**
     * Handles a request as the owner of its shard, which this node takes over if necessary.
     *
     * @param message the request
     * @return the reply; always completes normally
     */
    public CompletionStage<OperationReply> handle(OperationMessage message) {
        int number = routes.shardOf(message.key());
        JournalShard shard = shards.get(number);
        if (message instanceof OperationMessage.Begin begin) {
            return shard.begin(begin.request())
                    .thenApply(result -> result.equals(BeginResult.Unavailable.MOVED)
                            ? new OperationReply.Moved(routes.ownerOf(number))
                            : new OperationReply.Began(result));
        }
        if (message instanceof OperationMessage.Complete complete) {
            return reply(number, shard.complete(complete.key(), complete.attemptId(), complete.answer()));
        }
        if (message instanceof OperationMessage.Withdraw withdraw) {
            return reply(number, shard.withdraw(withdraw.key(), withdraw.attemptId()));
        }
        OperationMessage.LeaveInDoubt inDoubt = (OperationMessage.LeaveInDoubt) message;
        shard.leaveInDoubt(inDoubt.key(), inDoubt.attemptId());
        return CompletableFuture.completedFuture(new OperationReply.Done());
    }

    private CompletionStage<OperationReply> reply(int shard, CompletionStage<Void> durable) {
        return durable.handle((done, failure) -> {
            if (failure == null) {
                return new OperationReply.Done();
            }
            String owner = routes.ownerOf(shard);
            return owner.equals(routes.self()) ? new OperationReply.Failed() : new OperationReply.Moved(owner);
        });
    }

    @Override
    public CompletionStage<Void> complete(OperationKey key, String attemptId, RecordedAnswer answer) {
        return recordOutcome(new OperationMessage.Complete(key, attemptId, Optional.of(answer)));
    }

    @Override
    public CompletionStage<Void> confirmRan(OperationKey key) {
        return recordOutcome(new OperationMessage.Complete(key, "", Optional.empty()));
    }

    private CompletionStage<Void> recordOutcome(OperationMessage outcome) {
        unrecordedCount.incrementAndGet();
        return makeDurable(outcome, Integer.MAX_VALUE)
                .whenComplete((done, failure) -> unrecordedCount.decrementAndGet());
    }

    @Override
    public CompletionStage<Void> withdraw(OperationKey key, String attemptId) {
        return makeDurable(new OperationMessage.Withdraw(key, attemptId), Integer.MAX_VALUE);
    }

    @Override
    public void leaveInDoubt(OperationKey key, String attemptId) {
        sendToOwner(new OperationMessage.LeaveInDoubt(key, attemptId), 1);
    }

    private CompletionStage<Void> makeDurable(OperationMessage message, int maxAttempts) {
        CompletableFuture<Void> durable = new CompletableFuture<>();
        sendUntilDurable(message, 0, maxAttempts, durable);
        return durable;
    }

    private void sendUntilDurable(
            OperationMessage message, int failures, int maxAttempts, CompletableFuture<Void> durable) {
        sendToOwner(message, MAX_HOPS).whenComplete((reply, failure) -> {
            if (failure == null && reply.isPresent() && reply.get() instanceof OperationReply.Done) {
                durable.complete(null);
            } else if (failures + 1 >= maxAttempts) {
                durable.completeExceptionally(
                        new IllegalStateException("operation journal not written: all attempts allowed have failed"));
            } else {
                environment
                        .timers()
                        .schedule(
                                backoff.delayMillis(failures),
                                () -> sendUntilDurable(message, failures + 1, maxAttempts, durable));
            }
        });
    }
}
