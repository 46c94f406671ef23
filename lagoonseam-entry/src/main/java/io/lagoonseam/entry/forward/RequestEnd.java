package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.RetryAfter;
import io.lagoonseam.wire.DetourMessages.Outcome;
import io.lagoonseam.wire.DetourMessages.Result;
import io.vertx.core.MultiMap;

/** Ends one request: writes the final answer or breaks it off, and logs which. */
final class RequestEnd {

    static final int SERVICE_UNAVAILABLE = 503;
    static final int BAD_GATEWAY = 502;
    static final int GATEWAY_TIMEOUT = 504;

    private final ForwardEnvironment environment;
    private final ForwardDispatcher dispatcher;
    private final AdmittedRequest admitted;
    private final RequestLog log;
    private final QuarantineGate gate;
    private final CallerResponse callerResponse;
    private final AttemptCounts counts;
    private final ReceivedAnswer received;
    private final Runnable onEnded;

    /**
     * Creates an object for a request that has not ended.
     *
     * @param environment the shared dependencies of the node
     * @param dispatcher knows when to come back
     * @param admitted what was decided about the request
     * @param log the log of the request
     * @param gate decides whether the quarantine lets it through
     * @param callerResponse the response
     * @param counts the attempts so far
     * @param received the answer so far
     * @param onEnded called when the request has ended
     */
    RequestEnd(
            ForwardEnvironment environment,
            ForwardDispatcher dispatcher,
            AdmittedRequest admitted,
            RequestLog log,
            QuarantineGate gate,
            CallerResponse callerResponse,
            AttemptCounts counts,
            ReceivedAnswer received,
            Runnable onEnded) {
        this.environment = environment;
        this.dispatcher = dispatcher;
        this.admitted = admitted;
        this.log = log;
        this.gate = gate;
        this.callerResponse = callerResponse;
        this.counts = counts;
        this.received = received;
        this.onEnded = onEnded;
    }

    /** Returns what another node is told that has sent the request, if a worker answers. */
    Outcome answered() {
        return new Outcome(Result.ANSWERED, counts.runs(), 0, received.softwareVersion(), "");
    }

    /**
     * Forwards the rest of an answer that has been received completely; one that is no stream is held until it is
     * written.
     */
    void forward(
            AttemptTarget target,
            UpstreamResponseHeaders answer,
            MultiMap headers,
            long sinceArrivalMillis,
            Runnable onWritten) {
        if (admitted.route().kind().stream() && answer.succeeded()) {
            callerResponse.writeHeaders(answer, headers, sinceArrivalMillis, answered());
            if (!answer.selfDelimited() && !callerResponse.closeDelimited()) {
                breakOff(answer.status(), "a resumed stream ended without a length or chunks");
                return;
            }
            callerResponse.endStream();
        } else if (callerResponse.headersWritten()) {
            breakOff(answer.status(), "a resumed stream ended with status " + answer.status());
            return;
        } else {
            callerResponse.writeComplete(answer, headers, received.body(), answered(), onWritten);
        }
        log.answered(target.name(), answer.status(), callerResponse.firstEventMillis(), counts.arrivals());
        onEnded.run();
    }

    /**
     * Refuses a request that provably has not run and states when to retry.
     *
     * @param reason the reason
     * @param backlogMillis the expected time until the work before it is done, in milliseconds; 0 if unknown
     * @param remainingMillis the time until its deadline, in milliseconds
     */
    void refuse(String reason, long backlogMillis, long remainingMillis) {
        String service = admitted.service();
        long retryAfterMillis = RetryAfter.delayMillis(
                remainingMillis,
                Math.max(backlogMillis, dispatcher.limitBacklogMillis(service)),
                dispatcher.pauseMillis(service),
                environment.random().nextDouble());
        refuseUntil(retryAfterMillis, reason);
    }

    /** Refuses a request that provably has not run, to be retried after a time in milliseconds; 0 to state none. */
    void refuseUntil(long retryAfterMillis, String reason) {
        respond(
                SERVICE_UNAVAILABLE,
                new Outcome(Result.REFUSED, counts.runs(), retryAfterMillis, received.softwareVersion(), reason));
    }

    /**
     * Ends a request that finds no place: refuses it, or fails it if an earlier attempt may have run.
     *
     * @param reason the reason
     * @param backlogMillis the expected time until the work before it is done, in milliseconds; 0 if unknown
     * @param remainingMillis the time until its deadline, in milliseconds
     */
    void unplaced(String reason, long backlogMillis, long remainingMillis) {
        if (counts.runs() > 0) {
            fail(BAD_GATEWAY, reason);
        } else {
            refuse(reason, backlogMillis, remainingMillis);
        }
    }

    /** Ends a request that is in quarantine. */
    void quarantined() {
        if (counts.runs() > 0) {
            fail(BAD_GATEWAY, gate.reason());
        } else {
            refuseUntil(QuarantineGate.RETRY_AFTER_MILLIS, gate.reason());
        }
    }

    /** Ends a request of another node, which is told to try yet another one unless the request may have run. */
    void cutOff() {
        String reason = "this node is cut off from the workers";
        if (counts.runs() > 0) {
            fail(BAD_GATEWAY, reason);
        } else {
            respond(SERVICE_UNAVAILABLE, new Outcome(Result.NOT_TAKEN, counts.runs(), 0, "", reason));
        }
    }

    /** Fails a request that may have run. */
    void fail(int status, String reason) {
        respond(status, new Outcome(Result.FAILED, counts.runs(), 0, received.softwareVersion(), reason));
    }

    private void respond(int status, Outcome outcome) {
        if (callerResponse.headersWritten()) {
            breakOff(status, outcome.reason());
            return;
        }
        if (status == SERVICE_UNAVAILABLE) {
            log.refused(status, outcome.reason(), counts.arrivals(), outcome.retryAfterMillis());
        } else {
            log.failed(status, outcome.reason(), counts.arrivals(), received.lastEventId());
        }
        String explanation = gate.passes() ? "" : outcome.reason();
        callerResponse.writeNodeResponse(status, admitted.callerHeaders().requestId(), explanation, outcome);
        onEnded.run();
    }

    /**
     * Breaks off an answer that has begun.
     *
     * @param status the status that is logged
     * @param reason the reason
     */
    void breakOff(int status, String reason) {
        log.failed(status, "broken off: " + reason, counts.arrivals(), received.lastEventId());
        onEnded.run();
        callerResponse.abort();
    }
}
