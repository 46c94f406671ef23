package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.routing.WorkerState;
import io.lagoonseam.core.verdict.Refusal;
import io.lagoonseam.core.verdict.Verdict;
import io.lagoonseam.entry.upstream.AttemptFailure;
import io.vertx.core.Context;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The way of one request: queued, run on a worker, perhaps tried again, and ended exactly once. State changes happen on
 * the caller's context.
 */
abstract class AbstractRequestRunner implements QueuedRequest, CancellableRequest {

    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final long RETRY_AFTER_FAILURE_MILLIS = 1_000;

    private final Dispatcher dispatcher;
    private final Ticket ticket;
    private final Context context;
    private final AnswerSink sink;
    private final Set<String> excludedWorkers = ConcurrentHashMap.newKeySet();
    private final RequestExplainer explainer;
    private Upstream worker;
    private boolean sent;
    private boolean ended;

    AbstractRequestRunner(Dispatcher dispatcher, Ticket ticket, Context context, AnswerSink sink) {
        this.dispatcher = dispatcher;
        this.ticket = ticket;
        this.context = context;
        this.sink = sink;
        this.explainer = new RequestExplainer(dispatcher.trail(), ticket, dispatcher.time());
        explainer.classified();
        dispatcher.started(this);
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
    public final Set<String> excludedWorkers() {
        return excludedWorkers;
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

    final boolean wasSent() {
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
                dispatcher.decide(() -> service().release(chosen));
                return;
            }
            worker = chosen;
            explainer.attempt(chosen.name());
            dispatcher.newWork().sending(chosen.name());
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
        markEnded();
        dispatcher.record(EventCode.CALLER_GONE, ticket.id());
        explainer.callerGone();
        dispatcher.decide(() -> service().cancel(ticket.id()));
        if (worker != null) {
            abandonAttempt(worker);
            releaseWorker();
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
                    .retryAfterMillis(RETRY_AFTER_FAILURE_MILLIS)
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
        explainer.failed(failure);
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
        markEnded();
        releaseWorker();
        dispatcher.metrics().refused(ticket, refusal);
        explainer.refused(refusal);
        sink.refused(refusal);
    }

    final void endWithAnswer(long firstTokenMillis, int tokens) {
        String workerName = worker == null ? BoundedNames.OTHER : worker.name();
        markEnded();
        releaseWorker();
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

    private void markEnded() {
        ended = true;
        dispatcher.ended(this);
        dispatcher.finished();
        afterEnd();
    }
}
