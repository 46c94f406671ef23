package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.routing.AttemptResult;
import io.lagoonseam.core.routing.PromptPrefix;
import io.lagoonseam.core.routing.RoutingRequest;
import io.lagoonseam.core.stream.AnswerProgress;
import io.lagoonseam.core.stream.RecoveryLimit;
import io.lagoonseam.core.verdict.Verdict;
import io.lagoonseam.entry.upstream.AttemptFailure;
import io.lagoonseam.entry.upstream.GenerateRequest;
import io.lagoonseam.entry.upstream.StreamLimits;
import java.util.Optional;
import java.util.Set;

/**
 * Runs a generating request: resumes a broken stream, goes on with it on another worker, and hedges an urgent one that
 * has no first token yet.
 */
final class ModelRequestRunner extends AbstractRequestRunner implements GenerateAttempt.Owner {

    private final GenerateRequest request;
    private final PromptPrefix prefix;
    private final AnswerProgress progress = new AnswerProgress();
    private final RecoveryLimit recoveries = new RecoveryLimit();
    private GenerateAttempt primary;
    private GenerateAttempt hedge;
    private boolean hedged;

    /** Whether an extra attempt was taken for a resume that has brought nothing, so that it pays for the next one. */
    private boolean resumeUnopened;

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
        primary.generate(limits(), progress.tokens());
        armHedge();
    }

    private GenerateAttempt newAttempt(Upstream chosen) {
        return new GenerateAttempt(dispatcher().upstreams(), request, chosen, this);
    }

    /** Engines pause the lower tiers for higher ones, so that only the upper tiers are held to the learnt gap. */
    private StreamLimits limits() {
        long silenceMillis = request.silenceMillis();
        boolean steady = ticket().requestClass().tier().compareTo(Tier.HIGH) <= 0;
        long betweenMillis = steady ? recovery().gapLimit().limitMillis(silenceMillis) : silenceMillis;
        return new StreamLimits(silenceMillis, betweenMillis);
    }

    @Override
    void abandonAttempt(Upstream held) {
        primary.cancel();
        dropHedge();
    }

    private void armHedge() {
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
            Optional<Upstream> other = service().acquire(routing, this::weighed);
            other.ifPresent(worker -> context().runOnContext(nothing -> runHedge(worker)));
        });
    }

    private void runHedge(Upstream worker) {
        boolean same = primary.upstream().name().equals(worker.name());
        if (ended() || same || progress.tokens() > 0) {
            dispatcher().decide(() -> service().release(worker, AttemptResult.NEUTRAL));
            return;
        }
        dispatcher().metrics().extraAttempt("hedge");
        dispatcher().newWork().sending(worker.name());
        hedge = newAttempt(worker);
        hedge.generate(limits(), 0);
    }

    private void dropHedge() {
        GenerateAttempt dropped = hedge;
        hedge = null;
        if (dropped != null) {
            dropped.cancel();
            dispatcher().decide(() -> service().release(dropped.upstream(), AttemptResult.NEUTRAL));
        }
    }

    /** Makes the hedge the attempt that counts; the first one must have ended or been cancelled. */
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
        settleHedge(attempt);
        resumeUnopened = false;
        boolean next = progress.accept(index);
        dispatcher().invariants().check(Invariant.OWN_ANSWER_WHOLE, next, ticket().id() + " at token " + index);
        if (!next) {
            return;
        }
        if (firstTokenMillis < 0) {
            firstTokenMillis = dispatcher().time().monotonicMillis() - ticket().arrivalMillis();
        }
        sink().token(text);
        noteProgress(index + 1);
    }

    /** The first of two attempts that brings something goes on; the other is cancelled. */
    private void settleHedge(GenerateAttempt winner) {
        if (hedge == null) {
            return;
        }
        if (winner.equals(hedge)) {
            primary.cancel();
            promoteHedge();
        } else {
            dropHedge();
        }
    }

    @Override
    public void completed(GenerateAttempt attempt, int wholeTokens) {
        settleHedge(attempt);
        boolean whole = progress.isWhole(wholeTokens);
        dispatcher()
                .invariants()
                .check(Invariant.OWN_ANSWER_WHOLE, whole, ticket().id() + " ended at " + progress.tokens());
        endWithAnswer(Math.max(0, firstTokenMillis), wholeTokens);
        sink().completed(wholeTokens);
    }

    @Override
    public void failed(GenerateAttempt attempt, AttemptFailure failure) {
        String detail = ticket().id() + " on " + attempt.upstream().name() + ": " + failure.message();
        dispatcher().record(failure.event(), detail);
        if (attempt.equals(hedge)) {
            dropHedge();
        } else if (hedge != null) {
            noteFailure(failure);
            promoteHedge();
        } else {
            recover(failure);
        }
    }

    private void recover(AttemptFailure failure) {
        noteFailure(failure);
        if (!recoveries.tryRecover(progress.tokens())) {
            endWithRefusal(refusalOf(failure));
            return;
        }
        if (primary.resumableAfter(failure) && acquireExtraAttempt()) {
            dispatcher().record(EventCode.STREAM_RESUMED, ticket().id() + " at " + progress.tokens());
            dispatcher().metrics().extraAttempt("resume");
            resumeUnopened = true;
            primary.resume(limits(), progress.tokens());
            return;
        }
        continueElsewhere(failure);
    }

    private void continueElsewhere(AttemptFailure failure) {
        if (failure.verdict() != Verdict.NOT_RUN) {
            primary.cancel();
        }
        boolean allowed = safeToRepeat(failure) && (resumeUnopened || acquireExtraAttempt());
        resumeUnopened = false;
        if (!allowed) {
            endWithRefusal(refusalOf(failure));
            return;
        }
        dispatcher().metrics().extraAttempt(progress.tokens() > 0 ? "continuation" : "retry");
        tryAnotherWorker();
    }
}
