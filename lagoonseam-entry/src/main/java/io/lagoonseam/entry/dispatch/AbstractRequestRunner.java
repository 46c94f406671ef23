package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.verdict.Refusal;
import io.lagoonseam.core.verdict.Verdict;
import io.lagoonseam.entry.upstream.AttemptFailure;
import io.vertx.core.Context;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The way of one request: queued, run on a worker, perhaps tried again, and ended exactly once. State changes happen on
 * the caller's context.
 */
abstract class AbstractRequestRunner implements QueuedRequest, CancellableRequest {

    private static final int BAD_GATEWAY = 502;
    private static final long RETRY_AFTER_FAILURE_MILLIS = 1_000;

    private final Dispatcher dispatcher;
    private final Ticket ticket;
    private final Context context;
    private final AnswerSink sink;
    private final Set<String> excludedWorkers = ConcurrentHashMap.newKeySet();
    private Upstream worker;
    private boolean sent;
    private boolean ended;

    AbstractRequestRunner(Dispatcher dispatcher, Ticket ticket, Context context, AnswerSink sink) {
        this.dispatcher = dispatcher;
        this.ticket = ticket;
        this.context = context;
        this.sink = sink;
    }

    /** Runs one attempt on the caller's context. */
    abstract void attempt(Upstream chosen);

    /** Called once when the caller has gone while a worker is held. */
    abstract void abandonAttempt(Upstream held);

    @Override
    public final Ticket ticket() {
        return ticket;
    }

    @Override
    public final Set<String> excludedWorkers() {
        return excludedWorkers;
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
        service().submit(this);
    }

    private ServiceDispatcher service() {
        return dispatcher.service(ticket.requestClass().service());
    }

    @Override
    public final void start(Upstream chosen) {
        context.runOnContext(nothing -> {
            if (ended) {
                dispatcher.decide(() -> {
                    service().finished(ticket.id(), 0, false);
                    service().release(chosen);
                });
                return;
            }
            worker = chosen;
            attempt(chosen);
        });
    }

    @Override
    public final void refuse(Refusal refusal) {
        context.runOnContext(nothing -> endWithRefusal(refusal));
    }

    @Override
    public final void cancel() {
        if (ended) {
            return;
        }
        markEnded(0, false);
        dispatcher.record(EventCode.CALLER_GONE, ticket.id());
        dispatcher.decide(() -> service().cancel(ticket.id()));
        if (worker != null) {
            abandonAttempt(worker);
            releaseWorker();
        }
    }

    final void markSent() {
        boolean repeated = sent && !ticket.requestClass().idempotent();
        dispatcher.invariants().check(Invariant.AT_MOST_ONCE, !repeated, ticket.id());
        sent = true;
    }

    final void releaseWorker() {
        Upstream held = worker;
        worker = null;
        if (held != null) {
            dispatcher.decide(() -> service().release(held));
        }
    }

    /** Queues the request again, for another worker if there is one. */
    final void tryAnotherWorker() {
        excludedWorkers.add(worker.name());
        releaseWorker();
        dispatcher.decide(this::submit);
    }

    final boolean mayTryAgain(AttemptFailure failure) {
        boolean safe = ticket.requestClass().idempotent() || failure.verdict().permitsRetryOfNonIdempotent() && !sent;
        if (!safe) {
            return false;
        }
        boolean allowed =
                dispatcher.retryBudget(ticket.requestClass().service()).tryAcquire();
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
                .retryAfterMillis(RETRY_AFTER_FAILURE_MILLIS)
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
        dispatcher.metrics().refused(ticket, refusal);
        sink.refused(refusal);
    }

    final void endWithAnswer(long firstTokenMillis, int tokens) {
        String workerName = worker == null ? BoundedNames.OTHER : worker.name();
        markEnded(tokens, true);
        releaseWorker();
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
        dispatcher.decide(() -> service().finished(ticket.id(), tokens, whole));
        dispatcher.finished();
    }
}
