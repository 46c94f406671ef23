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
 * Keeps operations in a fixed number of journal objects on the platform. Each shard is written by one owner in groups;
 * other nodes ask it. Any node may take a shard over: the version of the journal object fences the earlier owner.
 */
public final class ShardedOperationJournal implements OperationJournal {

    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final long FORWARD_TIMEOUT_MILLIS = 1_500;
    private static final long BACKOFF_BASE_MILLIS = 100;
    private static final long BACKOFF_CAP_MILLIS = 2_000;
    private static final int HOPS = 3;
    private static final int WITHDRAW_TRIES = 10;

    private final List<JournalShard> shards = new ArrayList<>();
    private final ShardRoutes routes;
    private final OwnerClient owners;
    private final JournalShard.Environment environment;
    private final JitteredBackoff backoff;
    private final AtomicInteger unrecorded = new AtomicInteger();

    /**
     * Creates the journal of a node.
     *
     * @param members the live members
     * @param owners asks other nodes
     * @param environment what the shards work with
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
                    new JournalShard.Places(
                            owner -> routes.yieldsTo(shard, owner), owner -> routes.learn(shard, owner))));
        }
    }

    /**
     * Returns the outcomes that are known here and not yet durable.
     *
     * @return a number that falls to 0 while the platform answers
     */
    public int unrecordedOutcomes() {
        return unrecorded.get();
    }

    @Override
    public CompletionStage<BeginResult> begin(BeginRequest request) {
        return begin(request, true).thenApply(result -> {
            if (result instanceof BeginResult.Unavailable) {
                makeDurable(new OperationMessage.Withdraw(request.key(), request.attemptId()), WITHDRAW_TRIES);
            }
            return result;
        });
    }

    private CompletionStage<BeginResult> begin(BeginRequest request, boolean mayRepeat) {
        return ask(new OperationMessage.Begin(request), HOPS).thenCompose(reply -> {
            if (reply.isPresent() && reply.get() instanceof OperationReply.Began began) {
                return CompletableFuture.completedFuture(began.result());
            }
            return mayRepeat
                    ? begin(request, false)
                    : CompletableFuture.completedFuture(new BeginResult.Unavailable(RETRY_AFTER_MILLIS));
        });
    }

    /** Asks the owner, and the owner that this one names. */
    private CompletionStage<Optional<OperationReply>> ask(OperationMessage message, int hops) {
        int shard = routes.shardOf(message.key());
        String owner = routes.ownerOf(shard);
        CompletionStage<Optional<OperationReply>> asked =
                owner.equals(routes.self()) ? answer(message).thenApply(Optional::of) : forward(shard, owner, message);
        return asked.thenCompose(reply -> {
            if (reply.isEmpty() || !(reply.get() instanceof OperationReply.Moved moved)) {
                return CompletableFuture.completedFuture(reply);
            }
            routes.learn(shard, moved.owner());
            return hops > 1 ? ask(message, hops - 1) : CompletableFuture.completedFuture(Optional.empty());
        });
    }

    /** A node that cannot be reached loses the shard to this one. */
    private CompletionStage<Optional<OperationReply>> forward(int shard, String owner, OperationMessage message) {
        return owners.forward(owner, message, FORWARD_TIMEOUT_MILLIS).thenCompose(result -> {
            if (result.sent()) {
                routes.heard(shard, result.reply().isPresent());
                return CompletableFuture.completedFuture(result.reply());
            }
            routes.takeOver(shard);
            return answer(message).thenApply(Optional::of);
        });
    }

    /**
     * Answers a question as the owner of the shard, which this node takes over if need be.
     *
     * @param message the question
     * @return the answer; always completes normally
     */
    public CompletionStage<OperationReply> answer(OperationMessage message) {
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
        OperationMessage.LeaveInDoubt leave = (OperationMessage.LeaveInDoubt) message;
        shard.leaveInDoubt(leave.key(), leave.attemptId());
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
        return keep(new OperationMessage.Complete(key, attemptId, Optional.of(answer)));
    }

    @Override
    public CompletionStage<Void> confirmRan(OperationKey key) {
        return keep(new OperationMessage.Complete(key, "", Optional.empty()));
    }

    private CompletionStage<Void> keep(OperationMessage outcome) {
        unrecorded.incrementAndGet();
        return makeDurable(outcome, Integer.MAX_VALUE).whenComplete((done, failure) -> unrecorded.decrementAndGet());
    }

    @Override
    public CompletionStage<Void> withdraw(OperationKey key, String attemptId) {
        return makeDurable(new OperationMessage.Withdraw(key, attemptId), Integer.MAX_VALUE);
    }

    @Override
    public void leaveInDoubt(OperationKey key, String attemptId) {
        ask(new OperationMessage.LeaveInDoubt(key, attemptId), 1);
    }

    private CompletionStage<Void> makeDurable(OperationMessage message, int tries) {
        CompletableFuture<Void> durable = new CompletableFuture<>();
        attempt(message, 0, tries, durable);
        return durable;
    }

    private void attempt(OperationMessage message, int failures, int tries, CompletableFuture<Void> durable) {
        ask(message, HOPS).whenComplete((reply, failure) -> {
            if (failure == null && reply.isPresent() && reply.get() instanceof OperationReply.Done) {
                durable.complete(null);
            } else if (failures + 1 >= tries) {
                durable.completeExceptionally(new IllegalStateException("the journal could not be written"));
            } else {
                environment
                        .timers()
                        .schedule(backoff.delayMillis(failures), () -> attempt(message, failures + 1, tries, durable));
            }
        });
    }
}
