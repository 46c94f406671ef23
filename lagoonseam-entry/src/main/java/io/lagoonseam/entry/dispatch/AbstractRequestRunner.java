package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.routing.AttemptOutcome;
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
 * Runs one request: queues it, sends it to a worker, retries it if allowed, and ends it exactly once. The state of the
 * request changes only on the caller's context, except the concurrency slot of its workspace, which is acquired and
 * released on the decision threads.
 */
abstract class AbstractRequestRunner implements QueuedRequest, CancellableRequest {

    private static final int BAD_GATEWAY = 502;
    private static final int FIRST_PROGRESS_TOKENS = 16;

    /** Whether the request holds a concurrency slot of its workspace. */
    private enum LimitSlot {
        NOT_HELD,
        HELD,
        RELEASED
    }

    private static final int UNAVAILABLE = 503;

    private final Dispatcher dispatcher;
    private final Ticket ticket;
    private final Context context;
    private final AnswerSink sink;
    private final Set<String> excludedWorkers = ConcurrentHashMap.newKeySet();
    private final ServiceRecovery recovery;
    private final AtomicReference<LimitSlot> limitSlot = new AtomicReference<>(LimitSlot.NOT_HELD);
    private final RequestTrailRecorder trailRecorder;
    private Upstream worker;
    private AttemptOutcome attemptOutcome = AttemptOutcome.NEUTRAL;
    private int failures;
    private boolean sent;
    private boolean ended;

    AbstractRequestRunner(Dispatcher dispatcher, Ticket ticket, Context context, AnswerSink sink) {
        this.dispatcher = dispatcher;
        this.ticket = ticket;
        this.context = context;
        this.sink = sink;
        this.recovery = dispatcher.recovery(ticket.requestClass().service());
        this.trailRecorder = new RequestTrailRecorder(dispatcher.trail(), ticket, dispatcher.time());
        trailRecorder.classified();
        dispatcher.register(this);
    }

    /** Returns the prompt's leading blocks, for routing by cached prefix; empty by default. */
    PromptPrefix prefix() {
        return PromptPrefix.EMPTY;
    }

    /** Returns the number of tokens already delivered to the caller; 0 by default. */
    int deliveredTokens() {
        return 0;
    }

    /** Starts one attempt on the chosen worker. Called on the caller's context. */
    abstract void attempt(Upstream chosen);

    /**
     * Cancels the running attempt after the caller disconnected or the node aborted the request. Called at most once.
     *
     * @param upstream the worker of the attempt
     */
    abstract void cancelAttempt(Upstream upstream);

    /** Called once when the request has ended, with a final answer or because the caller disconnected. */
    void afterEnd() {
        // Nothing to release by default.
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
    public final void workerSelected(List<WorkerState> workers, String chosen) {
        trailRecorder.workerSelected(workers, chosen);
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
        if (!limitSlot.compareAndSet(LimitSlot.NOT_HELD, LimitSlot.HELD)) {
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
        context.runOnContext(ignored -> {
            if (ended) {
                dispatcher.decide(() -> {
                    service().finished(ticket.id(), 0, false);
                    service().release(chosen, AttemptOutcome.NEUTRAL);
                });
                return;
            }
            worker = chosen;
            attemptOutcome = AttemptOutcome.NEUTRAL;
            trailRecorder.attempt(chosen.name());
            dispatcher.leavingCheck().checkSend(chosen.name());
            attempt(chosen);
        });
    }

    @Override
    public final void refuse(Refusal refusal) {
        context.runOnContext(ignored -> endWithRefusal(sent ? withMayHaveRun(refusal) : refusal));
    }

    private static Refusal withMayHaveRun(Refusal refusal) {
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
        trailRecorder.callerGone();
        dispatcher.decide(() -> service().cancel(ticket.id()));
        if (worker != null) {
            cancelAttempt(worker);
            releaseWorker();
        }
        if (deliveredTokens() > 0) {
            dispatcher.metrics().wasted(ticket, "callerGone", deliveredTokens());
        }
    }

    /**
     * Ends the request with a refusal because the stop deadline of the node has passed. The verdict is may_have_run if
     * an attempt was sent, else not_run.
     */
    final void abort() {
        context.runOnContext(ignored -> {
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
                cancelAttempt(held);
            }
        });
    }

    final void markSent() {
        boolean sentTwice = sent && !ticket.requestClass().idempotent();
        dispatcher.invariants().check(Invariant.AT_MOST_ONCE, !sentTwice, ticket.id());
        sent = true;
    }

    /**
     * Updates admission's estimate of the answer length. Reports only at powers of two from 16 tokens on, so that long
     * answers cause few updates.
     */
    final void recordProgress(int tokens) {
        if (tokens >= FIRST_PROGRESS_TOKENS && Integer.bitCount(tokens) == 1) {
            dispatcher.decide(() -> service().progressed(ticket.id(), tokens));
        }
    }

    final void releaseWorker() {
        Upstream held = worker;
        worker = null;
        AttemptOutcome result = attemptOutcome;
        if (held != null) {
            dispatcher.decide(() -> service().release(held, result));
        }
    }

    /** Releases the held worker and continues with the worker of a concurrent attempt. */
    final void replaceWorker(Upstream other) {
        releaseWorker();
        worker = other;
        attemptOutcome = AttemptOutcome.NEUTRAL;
    }

    /** Resubmits the request after a backoff. Routing avoids the failed worker if another one is available. */
    final void retryOnAnotherWorker() {
        excludedWorkers.add(worker.name());
        releaseWorker();
        long delayMillis = recovery.backoff().delayMillis(failures++);
        context.owner().setTimer(Math.max(1, delayMillis), timer -> {
            if (!ended) {
                dispatcher.decide(() -> service().resubmit(this));
            }
        });
    }

    private static AttemptOutcome outcomeOf(AttemptFailure failure) {
        return switch (failure.event()) {
            case CONNECT_FAILED -> AttemptOutcome.UNREACHABLE;
            case ANSWER_MISMATCHED -> AttemptOutcome.MISMATCHED;
            case CONNECTION_BROKEN, UPSTREAM_ERROR -> AttemptOutcome.FAILED;
            default -> AttemptOutcome.NEUTRAL;
        };
    }

    final void recordFailure(AttemptFailure failure) {
        trailRecorder.failed(failure);
        attemptOutcome = outcomeOf(failure);
    }

    final boolean mayRetry(AttemptFailure failure) {
        recordFailure(failure);
        return isSafeToRetry(failure) && acquireExtraAttempt();
    }

    final boolean isSafeToRetry(AttemptFailure failure) {
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
            dispatcher.metrics().wasted(ticket, "refused", deliveredTokens());
        }
        dispatcher.metrics().refused(ticket, refusal);
        trailRecorder.refused(refusal);
        sink.refused(refusal);
    }

    final void endWithAnswer(long firstTokenMillis, int tokens) {
        String workerName = worker == null ? BoundedNames.OTHER : worker.name();
        markEnded(tokens, true);
        attemptOutcome = AttemptOutcome.SUCCEEDED;
        releaseWorker();
        recovery.budget().recordSuccess();
        trailRecorder.answered(tokens);
        long totalMillis = dispatcher.time().monotonicMillis() - ticket.arrivalMillis();
        dispatcher
                .metrics()
                .answered(new AnswerMeasurements(
                        ticket.requestClass(),
                        ticket.workspace(),
                        workerName,
                        ticket.serviceLevel(),
                        firstTokenMillis,
                        totalMillis,
                        tokens));
    }

    private void markEnded(int tokens, boolean complete) {
        ended = true;
        int generated = Math.max(tokens, deliveredTokens());
        dispatcher.decide(() -> {
            service().finished(ticket.id(), tokens, complete);
            if (limitSlot.getAndSet(LimitSlot.RELEASED) == LimitSlot.HELD) {
                long nowMillis = dispatcher.time().monotonicMillis();
                dispatcher.limiter().release(ticket.workspace(), generated, nowMillis);
            }
        });
        dispatcher.unregister(this);
        dispatcher.decrementInFlight();
        afterEnd();
    }
}
