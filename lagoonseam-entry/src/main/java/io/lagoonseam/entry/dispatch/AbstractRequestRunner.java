package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.routing.AttemptResult;
import io.lagoonseam.core.routing.PromptPrefix;
import io.lagoonseam.core.routing.RoutingRequest;
import io.lagoonseam.core.routing.WorkerState;
import io.lagoonseam.core.verdict.Refusal;
import io.lagoonseam.core.verdict.Verdict;
import io.lagoonseam.entry.upstream.AttemptFailure;
import io.vertx.core.Context;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The way of one request: queued, run on a worker, perhaps tried again, and ended exactly once. State changes happen on
 * the caller's context.
 */
abstract class AbstractRequestRunner implements QueuedRequest, CancellableRequest {

    private static final int BAD_GATEWAY = 502;
    private static final int FIRST_PROGRESS_TOKENS = 16;

    /** Whether the request counts against the limits of its workspace. */
    private enum LimitPlace {
        NOT_HELD,
        HELD,
        GIVEN_BACK
    }

    private static final int UNAVAILABLE = 503;

    private final Dispatcher dispatcher;
    private final Ticket ticket;
    private final Context context;
    private final AnswerSink sink;
    private final Set<String> excludedWorkers = ConcurrentHashMap.newKeySet();
    private final ServiceRecovery recovery;
    private final AtomicReference<LimitPlace> limitPlace = new AtomicReference<>(LimitPlace.NOT_HELD);
    private final RequestExplainer explainer;
    private Upstream worker;
    private AttemptResult attemptResult = AttemptResult.NEUTRAL;
    private int failures;
    private boolean sent;
    private boolean ended;

    AbstractRequestRunner(Dispatcher dispatcher, Ticket ticket, Context context, AnswerSink sink) {
        this.dispatcher = dispatcher;
        this.ticket = ticket;
        this.context = context;
        this.sink = sink;
        this.recovery = dispatcher.recovery(ticket.requestClass().service());
        this.explainer = new RequestExplainer(dispatcher.trail(), ticket, dispatcher.time());
        explainer.classified();
        dispatcher.started(this);
    }

    /** Returns the leading blocks of the prompt. */
    PromptPrefix prefix() {
        return PromptPrefix.EMPTY;
    }

    /** Returns the tokens that the caller has. */
    int deliveredTokens() {
        return 0;
    }

    /** Runs one attempt on the caller's context. */
    abstract void attempt(Upstream chosen);

    /** Called once when the caller has gone while a worker is held. */
    abstract void abandonAttempt(Upstream held);

    /** Called once when the caller has its final answer or has gone. */
    void afterEnd() {
        // Most requests keep nothing that outlives them.
    }

    @Override
    public final Ticket ticket() {
        return ticket;
    }

    @Override
    public final RoutingRequest routing() {
        return new RoutingRequest(ticket.requestClass().tier(), prefix(), Set.copyOf(excludedWorkers));
    }

    @Override
    public final void weighed(List<WorkerState> workers, String chosen) {
        explainer.weighed(workers, chosen);
    }

    final Dispatcher dispatcher() {
        return dispatcher;
    }

    final AnswerSink sink() {
        return sink;
    }

    final Context context() {
        return context;
    }

    final boolean ended() {
        return ended;
    }

    @Override
    public final boolean wasSent() {
        return sent;
    }

    final void submit() {
        long nowMillis = dispatcher.time().monotonicMillis();
        Optional<Refusal> overLimit = dispatcher.limiter().tryAcquire(ticket.workspace(), nowMillis);
        if (overLimit.isPresent()) {
            refuse(overLimit.get());
            return;
        }
        if (!limitPlace.compareAndSet(LimitPlace.NOT_HELD, LimitPlace.HELD)) {
            dispatcher.limiter().release(ticket.workspace(), 0, nowMillis);
            return;
        }
        service().submit(this);
    }

    final ServiceRecovery recovery() {
        return recovery;
    }

    final ServiceDispatcher service() {
        return dispatcher.service(ticket.requestClass().service());
    }

    @Override
    public final void start(Upstream chosen) {
        context.runOnContext(nothing -> {
            if (ended) {
                dispatcher.decide(() -> {
                    service().finished(ticket.id(), 0, false);
                    service().release(chosen, AttemptResult.NEUTRAL);
                });
                return;
            }
            worker = chosen;
            attemptResult = AttemptResult.NEUTRAL;
            explainer.attempt(chosen.name());
            dispatcher.newWork().sending(chosen.name());
            attempt(chosen);
        });
    }

    @Override
    public final void refuse(Refusal refusal) {
        context.runOnContext(nothing -> endWithRefusal(sent ? afterSending(refusal) : refusal));
    }

    private static Refusal afterSending(Refusal refusal) {
        Refusal.Builder builder = Refusal.builder(refusal.event(), refusal.httpStatus())
                .verdict(Verdict.MAY_HAVE_RUN)
                .message(refusal.message());
        refusal.retryAfterMillis().ifPresent(builder::retryAfterMillis);
        return builder.build();
    }

    @Override
    public final void cancel() {
        if (ended) {
            return;
        }
        markEnded(0, false);
        dispatcher.record(EventCode.CALLER_GONE, ticket.id());
        explainer.callerGone();
        dispatcher.decide(() -> service().cancel(ticket.id()));
        if (worker != null) {
            abandonAttempt(worker);
            releaseWorker();
        }
        if (deliveredTokens() > 0) {
            dispatcher.metrics().wasted("callerGone", deliveredTokens());
        }
    }

    /** Ends the request because the node stops now; what was sent may have run. */
    final void cutOff() {
        context.runOnContext(nothing -> {
            Upstream held = worker;
            if (ended) {
                return;
            }
            dispatcher.decide(() -> service().cancel(ticket.id()));
            endWithRefusal(Refusal.builder(EventCode.STOP_DEADLINE_PASSED, UNAVAILABLE)
                    .verdict(sent ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN)
                    .retryAfterMillis(service().retryAfterMillis())
                    .build());
            if (held != null) {
                abandonAttempt(held);
            }
        });
    }

    final void markSent() {
        boolean repeated = sent && !ticket.requestClass().idempotent();
        dispatcher.invariants().check(Invariant.AT_MOST_ONCE, !repeated, ticket.id());
        sent = true;
    }

    /** Corrects the expected length of the answer, ever more rarely as it grows. */
    final void noteProgress(int tokens) {
        if (tokens >= FIRST_PROGRESS_TOKENS && Integer.bitCount(tokens) == 1) {
            dispatcher.decide(() -> service().progressed(ticket.id(), tokens));
        }
    }

    final void releaseWorker() {
        Upstream held = worker;
        worker = null;
        AttemptResult result = attemptResult;
        if (held != null) {
            dispatcher.decide(() -> service().release(held, result));
        }
    }

    /** Goes on with an attempt that was made beside the first one. */
    final void replaceWorker(Upstream other) {
        releaseWorker();
        worker = other;
        attemptResult = AttemptResult.NEUTRAL;
    }

    /** Queues the request again, for another worker if there is one. */
    final void tryAnotherWorker() {
        excludedWorkers.add(worker.name());
        releaseWorker();
        long delayMillis = recovery.backoff().delayMillis(failures++);
        context.owner().setTimer(Math.max(1, delayMillis), timer -> {
            if (!ended) {
                dispatcher.decide(() -> service().resubmit(this));
            }
        });
    }

    private static AttemptResult resultOf(AttemptFailure failure) {
        return switch (failure.event()) {
            case CONNECT_FAILED -> AttemptResult.UNREACHABLE;
            case ANSWER_MISMATCHED -> AttemptResult.MISMATCHED;
            case CONNECTION_BROKEN, UPSTREAM_ERROR -> AttemptResult.FAILED;
            default -> AttemptResult.NEUTRAL;
        };
    }

    final void noteFailure(AttemptFailure failure) {
        explainer.failed(failure);
        attemptResult = resultOf(failure);
    }

    final boolean mayTryAgain(AttemptFailure failure) {
        noteFailure(failure);
        return safeToRepeat(failure) && acquireExtraAttempt();
    }

    final boolean safeToRepeat(AttemptFailure failure) {
        return ticket.requestClass().idempotent() || failure.verdict().permitsRetryOfNonIdempotent() && !sent;
    }

    final boolean acquireExtraAttempt() {
        boolean allowed = recovery.budget().tryAcquire();
        if (!allowed) {
            dispatcher.record(
                    EventCode.RETRY_BUDGET_SPENT, ticket.requestClass().service());
        }
        return allowed;
    }

    final Refusal refusalOf(AttemptFailure failure) {
        Verdict verdict = sent ? Verdict.MAY_HAVE_RUN : failure.verdict();
        return Refusal.builder(failure.event(), BAD_GATEWAY)
                .verdict(verdict)
                .message(failure.event().summary() + ": " + failure.message())
                .retryAfterMillis(service().retryAfterMillis())
                .build();
    }

    final void endWithRefusal(Refusal refusal) {
        if (ended) {
            return;
        }
        boolean truthful = refusal.verdict() != Verdict.NOT_RUN || !sent;
        dispatcher.invariants().check(Invariant.NOT_RUN_IS_TRUE, truthful, ticket.id());
        markEnded(0, false);
        releaseWorker();
        if (deliveredTokens() > 0) {
            dispatcher.metrics().wasted("refused", deliveredTokens());
        }
        dispatcher.metrics().refused(ticket, refusal);
        explainer.refused(refusal);
        sink.refused(refusal);
    }

    final void endWithAnswer(long firstTokenMillis, int tokens) {
        String workerName = worker == null ? BoundedNames.OTHER : worker.name();
        markEnded(tokens, true);
        attemptResult = AttemptResult.SUCCEEDED;
        releaseWorker();
        recovery.budget().recordSuccess();
        explainer.answered(tokens);
        long totalMillis = dispatcher.time().monotonicMillis() - ticket.arrivalMillis();
        dispatcher
                .metrics()
                .answered(new RequestOutcome(
                        ticket.requestClass(),
                        ticket.workspace(),
                        workerName,
                        ticket.serviceLevel(),
                        firstTokenMillis,
                        totalMillis,
                        tokens));
    }

    private void markEnded(int tokens, boolean whole) {
        ended = true;
        int generated = Math.max(tokens, deliveredTokens());
        dispatcher.decide(() -> {
            service().finished(ticket.id(), tokens, whole);
            if (limitPlace.getAndSet(LimitPlace.GIVEN_BACK) == LimitPlace.HELD) {
                long nowMillis = dispatcher.time().monotonicMillis();
                dispatcher.limiter().release(ticket.workspace(), generated, nowMillis);
            }
        });
        dispatcher.ended(this);
        dispatcher.finished();
        afterEnd();
    }
}
