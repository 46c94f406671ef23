package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.AttemptResult;
import io.lagoonseam.core.forward.OutlierDetector;
import io.lagoonseam.core.forward.PromptSegments;
import io.lagoonseam.core.forward.UpstreamChooser;
import io.lagoonseam.core.forward.UpstreamState;
import io.lagoonseam.core.ratelimit.Permit;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.entry.placement.Placement;
import io.lagoonseam.wire.DetourMessages.Outcome;
import java.util.Optional;
import java.util.OptionalDouble;

/** A worker that one attempt of a request goes to. */
final class WorkerTarget implements AttemptTarget {

    private final ForwardDispatcher dispatcher;
    private final TimeSource time;
    private final RequestLog log;
    private final PromptSegments prompt;
    private final UpstreamState worker;
    private final String sentVersion;
    private final long tokensAhead;
    private final Permit permit;
    private final Placement placement;
    private final WorkerReach.Attempt reach;
    private long unreadTokens;

    /**
     * Creates a target.
     *
     * @param dispatcher has the workers
     * @param time the clocks
     * @param log the log of the request
     * @param prompt the prompt of the request
     * @param choice the choice of the worker
     * @param tokensAhead the unread prompt tokens of other requests at the worker
     * @param permit the permit to send the request
     * @param placement receives what becomes of the request
     */
    WorkerTarget(
            ForwardDispatcher dispatcher,
            TimeSource time,
            RequestLog log,
            PromptSegments prompt,
            UpstreamChooser.Choice choice,
            long tokensAhead,
            Permit permit,
            Placement placement) {
        this.dispatcher = dispatcher;
        this.time = time;
        this.log = log;
        this.prompt = prompt;
        this.worker = choice.worker();
        this.sentVersion = worker.record().softwareVersion();
        this.tokensAhead = tokensAhead;
        this.permit = permit;
        this.placement = placement;
        this.unreadTokens = choice.unreadTokens();
        this.reach = dispatcher.reach().begin(worker.record().service(), id());
    }

    private String id() {
        return worker.record().id();
    }

    @Override
    public String name() {
        return id();
    }

    @Override
    public Optional<WorkerConnections> connections() {
        return dispatcher.connections(id());
    }

    @Override
    public void starting() {
        worker.started(unreadTokens, prompt.tokens());
        if (prompt.prefixTokens() > 0) {
            worker.cachedSegments().recordUse(prompt.prefixHash(), time.monotonicMillis());
        }
    }

    @Override
    public void onConnecting() {
        reach.connecting();
    }

    @Override
    public void onConnected() {
        reach.connected();
    }

    @Override
    public boolean maySend() {
        boolean valid = permit.valid(time);
        if (!valid) {
            log.permitExpired(id());
        }
        return valid;
    }

    @Override
    public boolean isWorker() {
        return true;
    }

    @Override
    public Optional<Outcome> told() {
        return Optional.empty();
    }

    @Override
    public OptionalDouble expectedMillis() {
        return OptionalDouble.of(worker.firstEventTime().expectedMillis(tokensAhead + unreadTokens));
    }

    @Override
    public void onHeaders(UpstreamResponseHeaders received, Optional<Outcome> told, long sentMillis) {
        reach.heard();
        received.load().ifPresent(load -> {
            worker.recordDirectLoad(load, time.monotonicMillis());
            placement.load(load);
        });
        dispatcher.announcements().onAnswer(worker, received, sentMillis);
    }

    @Override
    public void onBody() {
        reach.heard();
    }

    @Override
    public boolean readsPrompt() {
        return unreadTokens > 0;
    }

    @Override
    public void onFirstEvent(long afterMillis) {
        worker.firstEventTime().observe(tokensAhead + unreadTokens, afterMillis);
        placement.firstEvent(afterMillis);
        if (prompt.prefixTokens() > 0) {
            worker.cachedSegments().recordRead(prompt.prefixHash(), time.monotonicMillis());
            dispatcher.recordCachedSegment(id(), prompt.prefixHash());
        }
        releaseUnreadTokens();
    }

    @Override
    public void began(String workspace, long agoMillis) {
        dispatcher.usage().began(workspace, agoMillis);
    }

    private void releaseUnreadTokens() {
        worker.promptRead(unreadTokens);
        unreadTokens = 0;
    }

    @Override
    public String softwareVersion() {
        return dispatcher.stillHasVersion(worker, sentVersion) ? sentVersion : "";
    }

    @Override
    public boolean mayGoOnElsewhere(String version) {
        return dispatcher.mayGoOnElsewhere(worker.record().service(), version, worker);
    }

    @Override
    public void onSilence(long sinceMillis) {
        connections().ifPresent(connections -> connections.closeWithoutResponseSince(sinceMillis));
    }

    @Override
    public void observe(OutlierDetector.Outcome outcome) {
        boolean ejectedBefore = worker.outlierDetector().ejected();
        dispatcher.observe(worker, outcome);
        placement.outcome(outcome);
        log.observed(worker, outcome, ejectedBefore);
    }

    @Override
    public void observeFailure(AttemptResult result) {
        reach.failed();
        boolean unresponsive = result instanceof AttemptResult.NotRun || result instanceof AttemptResult.Silent;
        OutlierDetector.Outcome outcome =
                unresponsive ? OutlierDetector.Outcome.SILENT : OutlierDetector.Outcome.FAILED;
        reach.conclude(() -> observe(outcome), () -> log.inconclusive(id()));
    }

    @Override
    public void ended() {
        reach.ended();
        releaseUnreadTokens();
        worker.ended(prompt.tokens());
        placement.ended();
    }
}
