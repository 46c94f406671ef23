package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.operation.BeginRequest;
import io.lagoonseam.core.operation.BeginResult;
import io.lagoonseam.core.operation.OperationKey;
import io.lagoonseam.core.operation.RecordedAnswer;
import io.lagoonseam.core.verdict.Refusal;
import io.lagoonseam.core.verdict.Verdict;
import io.lagoonseam.entry.upstream.AttemptFailure;
import io.lagoonseam.entry.upstream.PlainAnswer;
import io.lagoonseam.entry.upstream.PlainListener;
import io.lagoonseam.entry.upstream.PlainRequest;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/** Runs a request to a plain service. The intent of a keyed operation is recorded in the journal before it is sent. */
final class PlainRequestRunner extends AbstractRequestRunner {

    private static final long BEGIN_WAIT_MILLIS = 1_500;
    private static final long OUTCOME_WAIT_MILLIS = 200;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int CONFLICT = 409;
    private static final int UNPROCESSABLE = 422;
    private static final int UNAVAILABLE = 503;

    private final PlainRequest request;
    private final Optional<OperationKey> operation;
    private final Optional<String> statusPath;
    private boolean intentRecorded;
    private boolean attempting;
    private boolean withdrawn;

    PlainRequestRunner(Dispatcher dispatcher, PlainServiceRequest request) {
        super(dispatcher, request.ticket(), request.context(), request.sink());
        this.request = request.upstreamRequest();
        this.operation = request.operation();
        this.statusPath = request.statusPath();
    }

    @Override
    void attempt(Upstream chosen) {
        if (operation.isEmpty() || intentRecorded) {
            send(chosen);
            return;
        }
        dispatcher()
                .journal()
                .begin(new BeginRequest(
                        operation.get(), ticket().id(), ticket().requestClass().tier(), BEGIN_WAIT_MILLIS))
                .thenAccept(result -> context().runOnContext(ignored -> handleBeginResult(chosen, result)));
    }

    private void handleBeginResult(Upstream chosen, BeginResult result) {
        if (result instanceof BeginResult.Started) {
            intentRecorded = true;
            if (ended()) {
                withdrawUnsent();
            } else {
                send(chosen);
            }
            return;
        }
        if (ended()) {
            return;
        }
        if (result instanceof BeginResult.Completed completed) {
            replay(completed.answer());
            return;
        }
        if (result instanceof BeginResult.InDoubt && statusPath.isPresent()) {
            queryOperationStatus(chosen);
            return;
        }
        endWithRefusal(refusalOf(result));
    }

    /**
     * Asks the upstream whether an operation of unknown outcome ran. Only a positive answer is conclusive: after a
     * negative one, an earlier sender may still send the operation.
     */
    private void queryOperationStatus(Upstream chosen) {
        OperationKey key = operation.orElseThrow();
        dispatcher()
                .upstreams()
                .readOperationRan(chosen, statusPath.orElseThrow(), key.key())
                .onComplete(answer -> {
                    boolean ran = answer.succeeded() && answer.result();
                    if (ran) {
                        dispatcher().journal().confirmRan(key);
                    }
                    BeginResult resolved = ran ? new BeginResult.RanBefore() : new BeginResult.InDoubt();
                    context().runOnContext(ignored -> endWithRefusal(refusalOf(resolved)));
                });
    }

    private static Refusal refusalOf(BeginResult result) {
        if (result instanceof BeginResult.Mismatched) {
            return Refusal.builder(EventCode.KEY_REUSED, UNPROCESSABLE).build();
        }
        if (result instanceof BeginResult.Unavailable unavailable) {
            return Refusal.builder(EventCode.JOURNAL_UNAVAILABLE, UNAVAILABLE)
                    .retryAfterMillis(unavailable.retryAfterMillis())
                    .build();
        }
        if (result instanceof BeginResult.RanBefore) {
            return Refusal.builder(EventCode.ANSWER_NOT_KEPT, CONFLICT)
                    .verdict(Verdict.RAN)
                    .build();
        }
        return Refusal.builder(EventCode.OUTCOME_UNKNOWN, CONFLICT)
                .verdict(Verdict.MAY_HAVE_RUN)
                .build();
    }

    private void replay(RecordedAnswer recorded) {
        dispatcher().record(EventCode.ANSWER_REPLAYED, ticket().id());
        finish(new PlainAnswer(recorded.httpStatus(), recorded.contentType(), Buffer.buffer(recorded.body())));
    }

    private void send(Upstream chosen) {
        attempting = true;
        dispatcher().upstreams().call(chosen, request, new Listener(chosen));
    }

    @Override
    void cancelAttempt(Upstream upstream) {
        // A plain service cannot cancel an operation; its outcome is still recorded when the answer arrives.
    }

    private final class Listener implements PlainListener {

        private final Upstream upstream;

        private Listener(Upstream upstream) {
            this.upstream = upstream;
        }

        @Override
        public void sending() {
            boolean sendPermitted = operation.isEmpty() || intentRecorded && !withdrawn;
            dispatcher()
                    .invariants()
                    .check(
                            Invariant.AT_MOST_ONCE,
                            sendPermitted,
                            ticket().id() + " is sent without a durable intent record");
            markSent();
        }

        @Override
        public void answered(PlainAnswer answer) {
            if (operation.isEmpty()) {
                finish(answer);
            } else if (answer.status() >= FIRST_SERVER_ERROR) {
                dispatcher().journal().leaveInDoubt(operation.get(), ticket().id());
                finish(answer);
            } else {
                recordOutcome(answer);
            }
        }

        @Override
        public void failed(AttemptFailure failure) {
            dispatcher().record(failure.event(), ticket().id() + " on " + upstream.name() + ": " + failure.message());
            attempting = false;
            if (intentRecorded && wasSent()) {
                dispatcher().journal().leaveInDoubt(operation.orElseThrow(), ticket().id());
            }
            if (ended()) {
                withdrawUnsent();
                return;
            }
            if (mayRetry(failure)) {
                retryOnAnotherWorker();
                return;
            }
            endWithRefusal(refusalOf(failure));
        }
    }

    /**
     * Records the outcome in the journal and then answers the caller. The answer is delayed by at most 200 ms; after
     * that, the journal keeps retrying in the background.
     */
    private void recordOutcome(PlainAnswer answer) {
        RecordedAnswer recorded = new RecordedAnswer(
                answer.status(), answer.contentType(), answer.body().toString());
        dispatcher()
                .journal()
                .complete(operation.orElseThrow(), ticket().id(), recorded)
                .whenComplete((done, failure) -> context().runOnContext(ignored -> finish(answer)));
        context().owner().setTimer(OUTCOME_WAIT_MILLIS, timer -> context().runOnContext(ignored -> finish(answer)));
    }

    private void finish(PlainAnswer answer) {
        if (ended()) {
            return;
        }
        endWithAnswer(dispatcher().time().monotonicMillis() - ticket().arrivalMillis(), 0);
        sink().answered(answer);
    }

    @Override
    void afterEnd() {
        withdrawUnsent();
    }

    private void withdrawUnsent() {
        if (intentRecorded && !withdrawn && !attempting && !wasSent()) {
            withdrawn = true;
            dispatcher().journal().withdraw(operation.orElseThrow(), ticket().id());
        }
    }
}
