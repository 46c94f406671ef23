package io.lagoonseam.entry.forward;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.forward.AttemptResult;
import io.lagoonseam.core.forward.OutlierDetector;
import io.lagoonseam.core.forward.UpstreamChooser;
import io.lagoonseam.core.forward.UpstreamState;
import java.util.Locale;
import java.util.stream.Collectors;

/** Records the decisions about one request in the log and the metrics. */
final class RequestLog {

    private static final int MAX_LOGGED_PARTS = 8;

    private final ForwardEnvironment environment;
    private final RequestMetrics metrics;
    private final AdmittedRequest admitted;
    private final long arrivedMillis;

    RequestLog(ForwardEnvironment environment, RequestMetrics metrics, AdmittedRequest admitted, long arrivedMillis) {
        this.environment = environment;
        this.metrics = metrics;
        this.admitted = admitted;
        this.arrivedMillis = arrivedMillis;
    }

    private void recordDecision(EventCode code, Object... fields) {
        environment.events().recordDecision(code, admitted.callerHeaders().requestId(), fields);
    }

    private long nowMillis() {
        return environment.time().monotonicMillis();
    }

    private long ageMillis() {
        return nowMillis() - arrivedMillis;
    }

    void accepted(long remainingMillis, long digest) {
        recordDecision(
                EventCode.REQUEST_TAKEN,
                "route",
                admitted.route().name(),
                "service",
                admitted.service(),
                "workspace",
                admitted.workspace(),
                "priority",
                admitted.priority(),
                "rank",
                admitted.rank(),
                "lane",
                admitted.lane(),
                "left_ms",
                remainingMillis,
                "prompt_tokens",
                admitted.callerHeaders().prompt().tokens(),
                "answer_tokens",
                admitted.callerHeaders().answerTokens(),
                "parts",
                admitted.callerHeaders().sharedParts().stream()
                        .limit(MAX_LOGGED_PARTS)
                        .collect(Collectors.joining(",")),
                "digest",
                Long.toHexString(digest),
                "resumes",
                admitted.callerHeaders().resumedRequestId());
    }

    void queued(long maxWaitMillis) {
        recordDecision(EventCode.REQUEST_WAITS, "longest_ms", maxWaitMillis);
    }

    void sent(UpstreamChooser.Choice choice, DecidedBy decidedBy, int attempt, long tokensAhead, String lastEventId) {
        recordDecision(
                EventCode.REQUEST_SENT,
                "worker",
                choice.worker().record().id(),
                "version",
                choice.worker().record().softwareVersion(),
                "reason",
                choice.reason(),
                "decided_by",
                decidedBy.name().toLowerCase(Locale.ROOT),
                "attempt",
                attempt,
                "tokens_to_read",
                choice.unreadTokens(),
                "tokens_ahead",
                tokensAhead,
                "in_flight",
                choice.worker().inFlight(nowMillis()),
                "last_event",
                lastEventId);
    }

    void sentThrough(String peer, String lastEventId) {
        recordDecision(EventCode.REQUEST_DETOURED, "node_used", peer, "last_event", lastEventId);
    }

    void inconclusive(String worker) {
        recordDecision(EventCode.FAILURE_INCONCLUSIVE, "worker", worker);
    }

    void attemptFailed(String target, AttemptResult result, long sentMillis, String lastEventId) {
        recordDecision(
                EventCode.ATTEMPT_FAILED,
                "worker",
                target,
                "result",
                result,
                "verdict",
                result.verdict().label(),
                "after_ms",
                nowMillis() - sentMillis,
                "last_event",
                lastEventId);
    }

    void letThrough() {
        recordDecision(EventCode.QUARANTINE_TRIED);
    }

    void permitExpired(String worker) {
        recordDecision(EventCode.PERMIT_EXPIRED, "worker", worker);
    }

    /**
     * Records the outcome of an attempt, and whether it ejected the worker or ended its ejection.
     *
     * @param worker the worker after the outcome was counted
     * @param outcome the outcome
     * @param ejectedBefore whether the worker was ejected before the outcome was counted
     */
    void observed(UpstreamState worker, OutlierDetector.Outcome outcome, boolean ejectedBefore) {
        metrics.attemptEnded(worker.record().id(), outcome.name().toLowerCase(Locale.ROOT));
        if (ejectedBefore != worker.outlierDetector().ejected()) {
            recordDecision(
                    ejectedBefore ? EventCode.UPSTREAM_BACK : EventCode.UPSTREAM_SET_ASIDE,
                    "worker",
                    worker.record().id(),
                    "service",
                    admitted.service(),
                    "outcome",
                    outcome);
        }
    }

    void retry(boolean allowed, int nodes) {
        recordDecision(
                allowed ? EventCode.REPEAT_TAKEN : EventCode.RETRY_BUDGET_SPENT,
                "service",
                admitted.service(),
                "nodes",
                nodes);
    }

    void answered(String target, int status, long firstEventMillis, int arrivals) {
        recordDecision(
                EventCode.REQUEST_ANSWERED,
                "status",
                status,
                "worker",
                target,
                "after_ms",
                ageMillis(),
                "first_event_ms",
                firstEventMillis,
                "arrivals",
                arrivals);
        ended(RequestMetrics.Outcome.ANSWERED, status, firstEventMillis);
    }

    void refused(int status, String reason, int arrivals, long retryAfterMillis) {
        notAnswered(EventCode.REQUEST_REFUSED, status, reason, arrivals, "retry_after_ms", retryAfterMillis);
        ended(RequestMetrics.Outcome.REFUSED, status, 0);
    }

    void failed(int status, String reason, int arrivals, String lastEventId) {
        notAnswered(EventCode.REQUEST_FAILED, status, reason, arrivals, "last_event", lastEventId);
        ended(RequestMetrics.Outcome.FAILED, status, 0);
    }

    private void notAnswered(EventCode code, int status, String reason, int arrivals, String name, Object value) {
        recordDecision(
                code, "status", status, "reason", reason, "after_ms", ageMillis(), "arrivals", arrivals, name, value);
    }

    void callerGone(int arrivals) {
        recordDecision(EventCode.CALLER_GONE, "after_ms", ageMillis(), "arrivals", arrivals);
        ended(RequestMetrics.Outcome.LEFT, 0, 0);
    }

    private void ended(RequestMetrics.Outcome outcome, int status, long firstEventMillis) {
        metrics.ended(admitted.route().name(), admitted.workspace(), outcome, status, ageMillis(), firstEventMillis);
    }
}
