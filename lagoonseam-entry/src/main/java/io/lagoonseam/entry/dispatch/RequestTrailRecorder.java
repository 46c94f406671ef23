package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.core.audit.RequestStep;
import io.lagoonseam.core.audit.RequestStep.Kind;
import io.lagoonseam.core.audit.RequestTrail;
import io.lagoonseam.core.routing.WorkerState;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.core.verdict.Refusal;
import io.lagoonseam.core.verdict.Verdict;
import io.lagoonseam.entry.upstream.AttemptFailure;
import java.util.List;
import java.util.stream.Collectors;

/** Records the decisions about one request, with their time since its arrival, in the request trail. */
final class RequestTrailRecorder {

    private static final int WORKERS_LISTED = 16;

    private final RequestTrail trail;
    private final Ticket ticket;
    private final TimeSource time;

    RequestTrailRecorder(RequestTrail trail, Ticket ticket, TimeSource time) {
        this.trail = trail;
        this.ticket = ticket;
        this.time = time;
    }

    private void add(Kind kind, String detail) {
        long atMillis = time.monotonicMillis() - ticket.arrivalMillis();
        trail.add(ticket.id(), new RequestStep(atMillis, kind, detail));
    }

    void classified() {
        add(
                Kind.CLASSIFIED,
                "workspace " + ticket.workspace() + ", class "
                        + ticket.requestClass().name() + ", tier "
                        + ticket.requestClass().tier().label() + ", generation " + trail.generation());
    }

    void workerSelected(List<WorkerState> workers, String chosen) {
        String listed = workers.stream()
                .limit(WORKERS_LISTED)
                .map(RequestTrailRecorder::describe)
                .collect(Collectors.joining("; "));
        add(Kind.WEIGHED, "chose " + chosen + " among " + workers.size() + ": " + listed);
    }

    private static String describe(WorkerState worker) {
        return worker.name() + " in flight " + worker.inFlight() + "/" + worker.concurrency() + ", waiting "
                + worker.reportedWaiting() + " as reported " + worker.reportAgeMillis() + " ms ago";
    }

    void attempt(String worker) {
        add(Kind.ATTEMPT, "on " + worker);
    }

    void failed(AttemptFailure failure) {
        add(
                Kind.ATTEMPT_FAILED,
                failure.event().number() + " " + failure.event() + ", verdict " + failure.verdict() + ": "
                        + failure.message());
    }

    void refused(Refusal refusal) {
        add(
                Kind.ENDED,
                "refused by event " + refusal.event().number() + " " + refusal.event() + ", verdict "
                        + refusal.verdict() + ": " + refusal.message());
    }

    void answered(int tokens) {
        add(Kind.ENDED, "answered with " + tokens + " tokens, verdict " + Verdict.RAN);
    }

    void callerGone() {
        add(Kind.ENDED, "the caller disconnected");
    }
}
