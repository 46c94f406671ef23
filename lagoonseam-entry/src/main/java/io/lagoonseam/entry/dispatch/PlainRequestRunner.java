package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.configuration.Upstream;
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

/** Runs a request to a plain service; an operation with a key is recorded in the journal before it is sent. */
final class PlainRequestRunner extends AbstractRequestRunner {

    private static final int CONFLICT = 409;
    private static final int UNPROCESSABLE = 422;
    private static final int UNAVAILABLE = 503;

    private final PlainRequest request;
    private final Optional<OperationKey> operation;
    private boolean begun;

    PlainRequestRunner(Dispatcher dispatcher, PlainServiceRequest request) {
        super(dispatcher, request.ticket(), request.context(), request.sink());
        this.request = request.upstreamRequest();
        this.operation = request.operation();
    }

    @Override
    void attempt(Upstream chosen) {
        if (operation.isEmpty() || begun) {
            send(chosen);
            return;
        }
        dispatcher()
                .journal()
                .begin(operation.get())
                .thenAccept(result -> context().runOnContext(nothing -> begun(chosen, result)));
    }

    private void begun(Upstream chosen, BeginResult result) {
        if (result instanceof BeginResult.Started) {
            begun = true;
            if (ended()) {
                withdraw();
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
        endWithRefusal(refusalOf(result));
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
        return Refusal.builder(EventCode.OUTCOME_UNKNOWN, CONFLICT)
                .verdict(Verdict.MAY_HAVE_RUN)
                .build();
    }

    private void replay(RecordedAnswer recorded) {
        dispatcher().record(EventCode.ANSWER_REPLAYED, ticket().id());
        finish(new PlainAnswer(recorded.httpStatus(), recorded.contentType(), Buffer.buffer(recorded.body())));
    }

    private void send(Upstream chosen) {
        dispatcher().upstreams().call(chosen, request, new Listener(chosen));
    }

    @Override
    void abandonAttempt(Upstream held) {
        // A plain service cannot cancel an action; its outcome is still recorded when it comes.
    }

    private final class Listener implements PlainListener {

        private final Upstream upstream;

        private Listener(Upstream upstream) {
            this.upstream = upstream;
        }

        @Override
        public void sending() {
            markSent();
        }

        @Override
        public void answered(PlainAnswer answer) {
            if (operation.isEmpty()) {
                finish(answer);
                return;
            }
            RecordedAnswer recorded = new RecordedAnswer(
                    answer.status(), answer.contentType(), answer.body().toString());
            dispatcher()
                    .journal()
                    .complete(operation.get(), recorded)
                    .whenComplete((done, failure) -> context().runOnContext(nothing -> finish(answer)));
        }

        @Override
        public void failed(AttemptFailure failure) {
            dispatcher().record(failure.event(), ticket().id() + " on " + upstream.name() + ": " + failure.message());
            if (ended()) {
                return;
            }
            if (mayTryAgain(failure)) {
                tryAnotherWorker();
                return;
            }
            if (begun && !wasSent()) {
                withdraw();
            }
            endWithRefusal(refusalOf(failure));
        }
    }

    private void finish(PlainAnswer answer) {
        if (ended()) {
            return;
        }
        endWithAnswer(dispatcher().time().monotonicMillis() - ticket().arrivalMillis(), 0);
        sink().answered(answer);
    }

    private void withdraw() {
        dispatcher().journal().withdraw(operation.orElseThrow());
    }
}
