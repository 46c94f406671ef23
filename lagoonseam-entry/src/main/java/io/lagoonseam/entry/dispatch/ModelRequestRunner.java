package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.routing.AttemptOutcome;
import io.lagoonseam.core.routing.PromptPrefix;
import io.lagoonseam.core.routing.RoutingRequest;
import io.lagoonseam.core.stream.AnswerProgress;
import io.lagoonseam.core.stream.RecoveryLimit;
import io.lagoonseam.core.verdict.Verdict;
import io.lagoonseam.entry.upstream.AttemptFailure;
import io.lagoonseam.entry.upstream.GenerateRequest;
import io.lagoonseam.entry.upstream.StreamTimeouts;
import java.util.Optional;
import java.util.Set;

/**
 * Runs a model request: resumes a broken stream on the same worker, otherwise continues it on another worker, and
 * hedges an urgent idempotent request that has no first token after the hedge delay.
 */
final class ModelRequestRunner extends AbstractRequestRunner implements GenerateAttempt.Owner {

    private final GenerateRequest request;
    private final PromptPrefix prefix;
    private final AnswerProgress progress = new AnswerProgress();
    private final RecoveryLimit recoveryLimit = new RecoveryLimit();
    private GenerateAttempt primary;
    private GenerateAttempt hedge;
    private boolean hedged;

    /**
     * Whether the current resume was charged to the retry budget and has not delivered a token yet. If it fails, the
     * continuation on another worker reuses its budget instead of acquiring more.
     */
    private boolean unusedResume;

    private long firstTokenMillis = -1;

    ModelRequestRunner(Dispatcher dispatcher, ModelRequest request) {
        super(dispatcher, request.ticket(), request.context(), request.sink());
        this.request = request.upstreamRequest();
        this.prefix = PromptPrefix.of(this.request.prompt());
    }

    @Override
    PromptPrefix prefix() {
        return prefix;
    }

    @Override
    int deliveredTokens() {
        return progress.tokens();
    }

    @Override
    void attempt(Upstream chosen) {
        primary = newAttempt(chosen);
        primary.generate(timeouts(), progress.tokens());
        scheduleHedge();
    }

    private GenerateAttempt newAttempt(Upstream chosen) {
        return new GenerateAttempt(dispatcher().upstreams(), request, chosen, this);
    }

    /**
     * Returns the idle timeouts of an attempt. The learnt token gap limit applies only to the tiers urgent and high,
     * because engines pause streams of lower tiers in favour of higher ones.
     */
    private StreamTimeouts timeouts() {
        long idleTimeoutMillis = request.idleTimeoutMillis();
        boolean notPreempted = ticket().requestClass().tier().compareTo(Tier.HIGH) <= 0;
        long betweenTokensIdleMillis =
                notPreempted ? recovery().gapLimit().limitMillis(idleTimeoutMillis) : idleTimeoutMillis;
        return new StreamTimeouts(idleTimeoutMillis, betweenTokensIdleMillis);
    }

    @Override
    void cancelAttempt(Upstream upstream) {
        primary.cancel();
        cancelHedge();
    }

    private void scheduleHedge() {
        if (hedged || progress.tokens() > 0) {
            return;
        }
        recovery()
                .hedgeDelay()
                .delayMillis(ticket().requestClass(), ticket().serviceLevel().firstTokenMillis())
                .ifPresent(delayMillis -> context().owner().setTimer(delayMillis, timer -> startHedge()));
    }

    private void startHedge() {
        if (ended() || hedged || progress.tokens() > 0) {
            return;
        }
        if (!recovery().budget().tryAcquireHedge()) {
            return;
        }
        hedged = true;
        RoutingRequest routing = new RoutingRequest(
                ticket().requestClass().tier(),
                prefix,
                Set.of(primary.upstream().name()));
        dispatcher().decide(() -> {
            Optional<Upstream> other = service().acquire(routing, this::workerSelected);
            other.ifPresent(worker -> context().runOnContext(ignored -> runHedge(worker)));
        });
    }

    private void runHedge(Upstream worker) {
        boolean sameWorker = primary.upstream().name().equals(worker.name());
        if (ended() || sameWorker || progress.tokens() > 0) {
            dispatcher().decide(() -> service().release(worker, AttemptOutcome.NEUTRAL));
            return;
        }
        dispatcher().metrics().extraAttempt("hedge");
        dispatcher().leavingCheck().checkSend(worker.name());
        hedge = newAttempt(worker);
        hedge.generate(timeouts(), 0);
    }

    private void cancelHedge() {
        GenerateAttempt dropped = hedge;
        hedge = null;
        if (dropped != null) {
            dropped.cancel();
            dispatcher().decide(() -> service().release(dropped.upstream(), AttemptOutcome.NEUTRAL));
        }
    }

    /** Makes the hedge the primary attempt. The previous primary attempt must have ended or been cancelled. */
    private void promoteHedge() {
        primary = hedge;
        hedge = null;
        replaceWorker(primary.upstream());
    }

    @Override
    public void sending() {
        markSent();
    }

    @Override
    public void firstToken(long sinceSendingMillis) {
        recovery().hedgeDelay().observe(sinceSendingMillis);
    }

    @Override
    public void pace(Upstream upstream, double gapMillis) {
        recovery().gapLimit().observe(gapMillis);
        dispatcher().decide(() -> service().observePace(upstream.name(), gapMillis));
    }

    @Override
    public void token(GenerateAttempt attempt, int index, String text) {
        resolveHedge(attempt);
        unusedResume = false;
        boolean next = progress.accept(index);
        dispatcher()
                .invariants()
                .check(Invariant.OWN_ANSWER_WHOLE, next, ticket().id() + " received unexpected token index " + index);
        if (!next) {
            return;
        }
        if (firstTokenMillis < 0) {
            firstTokenMillis = dispatcher().time().monotonicMillis() - ticket().arrivalMillis();
        }
        sink().token(text);
        recordProgress(index + 1);
    }

    /** Keeps the first of the two attempts that delivers a token or completes, and cancels the other. */
    private void resolveHedge(GenerateAttempt winner) {
        if (hedge == null) {
            return;
        }
        if (winner.equals(hedge)) {
            primary.cancel();
            promoteHedge();
        } else {
            cancelHedge();
        }
    }

    @Override
    public void completed(GenerateAttempt attempt, int totalTokens) {
        resolveHedge(attempt);
        boolean complete = progress.isComplete(totalTokens);
        dispatcher()
                .invariants()
                .check(
                        Invariant.OWN_ANSWER_WHOLE,
                        complete,
                        ticket().id() + " ended without a complete answer; tokens delivered: " + progress.tokens());
        endWithAnswer(Math.max(0, firstTokenMillis), totalTokens);
        sink().completed(totalTokens);
    }

    @Override
    public void failed(GenerateAttempt attempt, AttemptFailure failure) {
        String detail = ticket().id() + " on " + attempt.upstream().name() + ": " + failure.message();
        dispatcher().record(failure.event(), detail);
        if (failure.event() == EventCode.UPSTREAM_NOT_SERVING) {
            dispatcher()
                    .decide(() -> service().markNotServing(attempt.upstream().name()));
        }
        if (attempt.equals(hedge)) {
            cancelHedge();
        } else if (hedge != null) {
            recordFailure(failure);
            promoteHedge();
        } else {
            recover(failure);
        }
    }

    private void recover(AttemptFailure failure) {
        recordFailure(failure);
        if (!recoveryLimit.tryRecover(progress.tokens())) {
            endWithRefusal(refusalOf(failure));
            return;
        }
        if (primary.resumableAfter(failure) && acquireExtraAttempt()) {
            dispatcher().record(EventCode.STREAM_RESUMED, ticket().id() + " at " + progress.tokens());
            dispatcher().metrics().extraAttempt("resume");
            unusedResume = true;
            primary.resume(timeouts(), progress.tokens());
            return;
        }
        continueOnAnotherWorker(failure);
    }

    private void continueOnAnotherWorker(AttemptFailure failure) {
        if (failure.verdict() != Verdict.NOT_RUN) {
            primary.cancel();
        }
        boolean allowed = isSafeToRetry(failure) && (unusedResume || acquireExtraAttempt());
        unusedResume = false;
        if (!allowed) {
            endWithRefusal(refusalOf(failure));
            return;
        }
        dispatcher().metrics().extraAttempt(progress.tokens() > 0 ? "continuation" : "retry");
        retryOnAnotherWorker();
    }
}
