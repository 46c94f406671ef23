package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.AttemptPolicy;
import io.lagoonseam.core.forward.AttemptResult;
import io.lagoonseam.core.forward.Lane;
import io.lagoonseam.core.forward.NextStep;
import io.lagoonseam.core.forward.OutlierDetector;
import io.lagoonseam.core.forward.PromptSegments;
import io.lagoonseam.core.forward.UpstreamChooser;
import io.lagoonseam.core.forward.WorkKind;
import io.lagoonseam.core.forward.WorkerDemand;
import io.lagoonseam.core.placement.PlacementDecision;
import io.lagoonseam.core.ratelimit.Permit;
import io.lagoonseam.core.resume.StreamOrigin;
import io.lagoonseam.core.time.TimeReading;
import io.lagoonseam.entry.placement.PlacedRequest;
import io.lagoonseam.entry.placement.Placement;
import io.lagoonseam.entry.settings.ListenAddress;
import io.lagoonseam.wire.DetourMessages;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Processes one request of a caller from the time it has been read completely to the end of its response: queues it,
 * sends it to a worker, retries it where that is allowed, and forwards the response. A refusal or failure is sent as
 * soon as no further attempt is possible, not only at the deadline.
 */
final class ForwardedRequest implements UpstreamAttempt.Listener, PlacedRequest {

    /**
     * How long after the deadline this node still waits for the response of a worker, in milliseconds: the one-way
     * network latency between data centres.
     */
    private static final long DEADLINE_GRACE_MILLIS = 15;

    /** How long the permit of a home may be used after it has arrived, in milliseconds. */
    private static final long HOME_PERMIT_LIFETIME_MILLIS = 500;

    private static final String MISSING_SEAL = "a success without the worker's mark";

    private final ForwardEnvironment environment;
    private final ForwardDispatcher dispatcher;
    private final RequestLog log;
    private final AdmittedRequest admitted;
    private final HttpServerRequest request;
    private final CallerResponse callerResponse;
    private final long arrivedMillis;
    private final long deadlineMillis;
    private final Set<String> triedWorkers = new HashSet<>();
    private final RouteTimes times;
    private final QuarantineGate gate;
    private final RequestSource source;
    private final RequestDetour detour;
    private final Runnable onDone;
    private final AttemptCounts counts;
    private final ReceivedAnswer received;
    private final RequestEnd end;
    private RequestBody body;
    private UpstreamAttempt attempt;
    private AttemptTarget target;
    private long queueDeadlineMillis;
    private long sentMillis;

    private UpstreamResponseHeaders answer;
    private MultiMap answerHeaders;
    private boolean queued;
    private boolean retryReserved;
    private boolean done;
    private final RequestTimer deadlineTimer;
    private final RequestTimer responseTimer;

    ForwardedRequest(
            ForwardEnvironment environment,
            ForwardDispatcher dispatcher,
            RequestMetrics metrics,
            AdmittedRequest admitted,
            RequestSource source,
            HttpServerRequest request,
            RequestBody body,
            long arrivedMillis,
            Runnable onDone) {
        this.environment = environment;
        this.dispatcher = dispatcher;
        this.admitted = admitted;
        this.request = request;
        this.source = source;
        this.detour = new RequestDetour(dispatcher, environment.protocol(), admitted, source);
        this.callerResponse = new CallerResponse(environment.protocol(), request, source);
        this.body = body;
        this.arrivedMillis = arrivedMillis;
        this.log = new RequestLog(environment, metrics, admitted, arrivedMillis);
        this.times = new RouteTimes(admitted.route());
        this.gate = dispatcher.newGate(admitted, request, body);
        this.deadlineTimer = new RequestTimer(environment.vertx());
        this.responseTimer = new RequestTimer(environment.vertx());
        this.onDone = onDone;
        this.triedWorkers.addAll(source.triedWorkers());
        this.counts = new AttemptCounts(admitted.route().maxAttempts());
        this.received = new ReceivedAnswer(
                admitted.route().kind().stream(), admitted.callerHeaders().lastEventId(), admitted.softwareVersion());
        this.end = new RequestEnd(
                environment, dispatcher, admitted, log, gate, callerResponse, counts, received, this::finish);
        this.deadlineMillis =
                arrivedMillis + times.longestMillis(admitted.callerHeaders().timeoutMillis());
    }

    @Override
    public String service() {
        return admitted.service();
    }

    @Override
    public int priority() {
        return admitted.rank();
    }

    @Override
    public int answerTokens() {
        return admitted.answerTokens();
    }

    @Override
    public long leftMillis() {
        return deadlineMillis - nowMillis();
    }

    PromptSegments prompt() {
        return admitted.callerHeaders().prompt();
    }

    Lane lane() {
        return admitted.lane();
    }

    @Override
    public WorkerDemand demand() {
        return demand(admitted.homeLane(), true);
    }

    /** Returns what the request asks of a worker that this node chooses by itself. */
    WorkerDemand ownDemand() {
        return demand(lane(), false);
    }

    private WorkerDemand demand(Lane inLane, boolean atHome) {
        return new WorkerDemand(
                prompt().shape(),
                inLane,
                admitted.route().objectiveMillis(),
                arrivedMillis + admitted.route().objectiveMillis(),
                environment.settings().dataCentre(),
                priority(),
                atHome,
                triedWorkers,
                received.softwareVersion());
    }

    /** Returns whether the request has not been sent and not been ended. */
    boolean queued() {
        return queued;
    }

    private WorkKind kind() {
        return admitted.route().kind();
    }

    /** Returns the kind of what is left of the work: a stream of unknown version cannot go on elsewhere. */
    private WorkKind remainingKind() {
        return received.begun() && received.softwareVersion().isEmpty() ? WorkKind.STREAM : kind();
    }

    private long nowMillis() {
        return environment.time().monotonicMillis();
    }

    /** Starts processing: registers for the caller's disconnection, starts the deadline timer, queues the request. */
    void start() {
        request.response().closeHandler(nothing -> onCallerGone());
        request.response().exceptionHandler(cause -> onCallerGone());
        deadlineTimer.restart(leftMillis() + DEADLINE_GRACE_MILLIS, this::onDeadline);
        detour.count();
        log.accepted(leftMillis(), gate.digest());
        enter();
    }

    /** Queues the request, unless it is in quarantine and not let through. */
    private void enter() {
        gate.endTry();
        if (source.letThrough()) {
            gate.letThroughElsewhere();
        }
        if (gate.passes()) {
            submit();
        } else if (counts.arrivals() > 0) {
            end.quarantined();
        } else {
            gate.tryOnce().thenAccept(allowed -> {
                if (done) {
                    return;
                }
                if (allowed) {
                    log.letThrough();
                    submit();
                } else {
                    end.quarantined();
                }
            });
        }
    }

    /** Takes the request from a worker that has not begun to answer it if it has come into quarantine. */
    void onQuarantined() {
        if (attempt != null && gate.awaitsAnswer() && !gate.passes()) {
            attempt.cancel();
            endAttempt();
            end.quarantined();
        }
    }

    private void submit() {
        queued = true;
        long waitMillis = times.queueWaitMillis(
                !dispatcher.workers().isEmpty(), !received.softwareVersion().isEmpty());
        queueDeadlineMillis = Math.min(deadlineMillis, nowMillis() + waitMillis);
        if (counts.none()) {
            place();
        } else {
            dispatcher.reach().whenKnown(service(), this::place);
        }
    }

    private void place() {
        if (!queued) {
            return;
        }
        if (detour.deadEnd()) {
            queued = false;
            end.cutOff();
        } else if (detour.needed()) {
            detour.find().thenAccept(this::placeThrough);
        } else {
            dispatcher.submit(this, queueDeadlineMillis);
        }
    }

    private void placeThrough(Optional<String> peer) {
        if (!queued) {
            return;
        }
        if (peer.isEmpty()) {
            dispatcher.submit(this, queueDeadlineMillis);
            return;
        }
        queued = false;
        if (target == null || target.isWorker()) {
            counts.resetConnectFailures();
        }
        PeerTarget to = detour.target(peer.get());
        log.sentThrough(to.name(), received.lastEventId());
        RequestDetour.Progress progress = new RequestDetour.Progress(
                nowMillis() - arrivedMillis,
                Math.max(1, leftMillis()),
                counts.runsLeft(),
                received.softwareVersion(),
                received.lastEventId(),
                triedWorkers,
                gate.letThrough());
        attempt(to, detour.headers(request.headers(), progress));
    }

    /** Has another node tried, since this one turned out to be cut off from the workers of the service. */
    void onCutOff() {
        if (queued) {
            dispatcher.withdraw(this);
            place();
        } else if (attempt != null && target.isWorker() && !attempt.sending()) {
            attempt.cancel();
            endAttempt();
            enter();
        }
    }

    /** Called when the request waits, at this node or at the home of its service. */
    @Override
    public void onQueued() {
        log.queued(queueDeadlineMillis - nowMillis());
    }

    @Override
    public void onGranted(PlacementDecision.Granted granted, Placement granting) {
        Optional<UpstreamChooser.Choice> choice = dispatcher.choice(granted, demand());
        if (detour.needed()) {
            granting.ended();
            place();
        } else if (choice.isEmpty()) {
            granting.ended();
            dispatcher.submitLocally(this, queueDeadlineMillis);
        } else {
            Permit homePermit = granted.permitted()
                    ? Permit.expiring(TimeReading.now(environment.time()), HOME_PERMIT_LIFETIME_MILLIS)
                    : Permit.UNLIMITED;
            send(choice.get(), DecidedBy.HOME, granted.tokensAhead(), homePermit, granting);
        }
    }

    @Override
    public void onRefused(PlacementDecision.Refused refused) {
        endUnplaced(refused.reason(), refused.backlogMillis());
    }

    @Override
    public void onUndecided() {
        dispatcher.submitLocally(this, queueDeadlineMillis);
    }

    /**
     * Sends the request to the chosen worker.
     *
     * @param choice the choice
     * @param decidedBy who has made it
     * @param tokensBefore the unread prompt tokens of other requests at the worker
     * @param taken the permit to send it
     * @param granting receives what becomes of the request
     */
    void send(UpstreamChooser.Choice choice, DecidedBy decidedBy, long tokensBefore, Permit taken, Placement granting) {
        queued = false;
        WorkerTarget to =
                new WorkerTarget(dispatcher, environment.time(), log, prompt(), choice, tokensBefore, taken, granting);
        triedWorkers.add(to.name());
        log.sent(choice, decidedBy, triedWorkers.size(), tokensBefore, received.lastEventId());
        gate.sending(choice.worker().record());
        UpstreamRequestHeaders added = new UpstreamRequestHeaders(
                to.name(),
                Math.max(1, leftMillis()),
                priority(),
                admitted.workspace(),
                received.lastEventId(),
                choice.copyFrom()
                        .map(from -> new ListenAddress(
                                from.record().host(), from.record().port())));
        attempt(to, environment.protocol().upstreamHeaders(source.callerHeaders(request.headers()), added));
    }

    private void attempt(AttemptTarget to, MultiMap headers) {
        target = to;
        target.starting();
        Optional<WorkerConnections> connections = target.connections();
        answer = null;
        dropAnswer();
        if (connections.isEmpty()) {
            onFailure(new AttemptResult.NotRun("the worker has left", false));
            return;
        }
        attempt = new UpstreamAttempt(
                environment.protocol(),
                connections.get(),
                new UpstreamAttempt.Message(
                        request.method(),
                        request.uri(),
                        headers,
                        body,
                        admitted.callerHeaders().requestId()),
                this);
        sentMillis = nowMillis();
        dispatcher.sent().add(this);
        attempt.start();
    }

    @Override
    public void onConnecting() {
        target.onConnecting();
    }

    @Override
    public void onConnected() {
        target.onConnected();
    }

    @Override
    public boolean maySend() {
        return target.maySend() && gate.passes();
    }

    @Override
    public void onNotSent() {
        endAttempt();
        if (!done) {
            enter();
        }
    }

    @Override
    public void onSending() {
        counts.sending();
        sentMillis = nowMillis();
        if (!target.isWorker()) {
            detour.sending();
        }
        if (kind().retryable()) {
            target.expectedMillis()
                    .ifPresent(expected ->
                            responseTimer.restart(times.responseTimeoutMillis(expected), this::onResponseTimeout));
        }
    }

    private void onResponseTimeout() {
        if (done || attempt == null || brokenStreamGoesBack()) {
            return;
        }
        boolean attemptsLeft = counts.runsLeft() > 0 && leftMillis() > 0;
        boolean mayGoOn = remainingKind().retryable() && target.mayGoOnElsewhere(received.softwareVersion());
        if (!attemptsLeft || !mayGoOn || !gate.mayRetry() || !tryTakeRetry()) {
            // if no retry is possible, keep waiting: a late response is better than none
            return;
        }
        retryReserved = true;
        attempt.cancel();
        target.onSilence(sentMillis);
        onFailure(new AttemptResult.Silent());
    }

    @Override
    public void onHeaders(UpstreamResponseHeaders parsed, MultiMap headers) {
        answer = parsed;
        target.onHeaders(parsed, DetourHeader.outcome(headers), sentMillis);
        answerHeaders = target.isWorker() ? headers : DetourHeader.without(headers);
        target.told().ifPresent(counts::told);
    }

    @Override
    public void onBody(Buffer bytes) {
        target.onBody();
        if (!kind().stream() || !answer.succeeded()) {
            received.append(bytes);
            hold();
            return;
        }
        if (!answer.genuine()) {
            attempt.cancel();
            onFailure(new AttemptResult.Broken(MISSING_SEAL));
            return;
        }
        Buffer events = received.split(bytes);
        if (events.length() > 0) {
            onEvents(events);
        }
        hold();
    }

    private void hold() {
        dispatcher.answerBuffers().hold(this, received.heldBytes()).ifPresent(ForwardedRequest::giveUpAnswer);
    }

    private void giveUpAnswer() {
        long bytes = received.heldBytes();
        dropAnswer();
        if (done) {
            // its caller reads too slowly
            callerResponse.abort();
            return;
        }
        attempt.cancel();
        onFailure(new AttemptResult.Broken("the answer occupies " + bytes + " bytes without an end"));
    }

    private void dropAnswer() {
        received.drop();
        hold();
    }

    private void onEvents(Buffer events) {
        boolean progressed = received.progressed();
        if (progressed) {
            gate.answerBegan();
        }
        if (progressed && (target.readsPrompt() || !callerResponse.headersWritten())) {
            target.onFirstEvent(nowMillis() - sentMillis);
        }
        received.forwarded();
        if (progressed && !received.begun()) {
            begin();
        }
        callerResponse.writeHeaders(answer, answerHeaders, nowMillis() - arrivedMillis, end.answered());
        if (!callerResponse.writeEvents(events, this::onCallerDrained)) {
            // the worker is not silent while this node does not read from it
            attempt.pause();
            responseTimer.cancel();
        } else if (progressed) {
            restartIdleTimer();
        }
    }

    /** Records which software version began the stream, before the first event is forwarded. */
    private void begin() {
        received.begin(target.softwareVersion());
        target.began(admitted.workspace(), 0);
        if (kind().retryable()) {
            long lifetimeMillis =
                    times.originLifetimeMillis(admitted.callerHeaders().timeoutMillis());
            dispatcher
                    .origins()
                    .began(admitted.stream(), new StreamOrigin(service(), received.softwareVersion()), lifetimeMillis);
        }
    }

    private void onCallerDrained() {
        if (attempt != null) {
            attempt.resume();
            restartIdleTimer();
        }
    }

    private void restartIdleTimer() {
        if (kind().retryable()) {
            responseTimer.restart(times.idleTimeoutMillis(), this::onResponseTimeout);
        }
    }

    @Override
    public void onEnd() {
        endAttempt();
        if (target.told().isPresent() && target.told().get().result() != DetourMessages.Result.ANSWERED) {
            onNotAnswered(target.told().get());
            return;
        }
        if (answer.notRun() || answer.wrongWorker()) {
            counts.rejected();
            if (answer.wrongWorker()) {
                target.observe(OutlierDetector.Outcome.REPLACED);
            }
            decide(new AttemptResult.NotRun("status " + answer.status(), true));
            return;
        }
        if (answer.succeeded() && !answer.genuine()) {
            target.observe(OutlierDetector.Outcome.FAILED);
            decide(new AttemptResult.Broken(MISSING_SEAL));
            return;
        }
        if (received.endsWithinEvent(answer)) {
            target.observe(OutlierDetector.Outcome.FAILED);
            decide(new AttemptResult.Broken("the stream ended within an event"));
            return;
        }
        if (!kind().stream()) {
            target.began(admitted.workspace(), nowMillis() - sentMillis);
        }
        // a worker that asks for a pause is overloaded, not failing
        boolean failed = answer.status() >= 500 && answer.retryAfterMillis() == 0;
        target.observe(failed ? OutlierDetector.Outcome.FAILED : OutlierDetector.Outcome.ANSWERED);
        decide(new AttemptResult.Answered(answer.status()));
    }

    private void onNotAnswered(DetourMessages.Outcome told) {
        switch (told.result()) {
            case NOT_TAKEN -> {
                detour.notTaken();
                AttemptResult notTaken = new AttemptResult.NotRun(told.reason(), false);
                counts.connectFailed();
                target.observeFailure(notTaken);
                decide(notTaken);
            }
            case REFUSED -> {
                if (counts.runs() > 0) {
                    end.fail(RequestEnd.BAD_GATEWAY, told.reason());
                } else {
                    end.refuseUntil(told.retryAfterMillis(), told.reason());
                }
            }
            default ->
                decide(
                        answer.status() == RequestEnd.GATEWAY_TIMEOUT
                                ? new AttemptResult.Silent()
                                : new AttemptResult.Broken(told.reason()));
        }
    }

    private void endAttempt() {
        responseTimer.cancel();
        target.ended();
        dispatcher.sent().remove(this);
        attempt = null;
    }

    @Override
    public void onFailure(AttemptResult result) {
        endAttempt();
        if (result instanceof AttemptResult.NotRun) {
            counts.connectFailed();
        }
        target.observeFailure(result);
        log.attemptFailed(target.name(), result, sentMillis, received.lastEventId());
        if (!target.isWorker() && result instanceof AttemptResult.Broken && answer == null) {
            // the node does not tell how many workers have run it
            counts.unknown();
        }
        if (target.isWorker() && result instanceof AttemptResult.Broken) {
            gate.brokeOff();
        }
        decide(result);
    }

    private void decide(AttemptResult result) {
        if (done) {
            return;
        }
        if (brokenStreamGoesBack() && !(result instanceof AttemptResult.Answered)) {
            end.breakOff(answer.status(), result.toString());
            return;
        }
        AttemptPolicy.History history = counts.history(remainingKind(), leftMillis());
        NextStep step = AttemptPolicy.next(result, history, () -> gate.mayRetry() && tryTakeRetry());
        switch (step) {
            case RETRY -> {
                dropAnswer();
                enter();
            }
            case FORWARD_ANSWER -> forwardAnswer();
            case REFUSE -> end.refuse(result.toString(), 0, leftMillis());
            case FAIL ->
                end.fail(
                        result instanceof AttemptResult.Silent ? RequestEnd.GATEWAY_TIMEOUT : RequestEnd.BAD_GATEWAY,
                        result.toString());
        }
        dispatcher.dispatchQueued();
    }

    /** Returns whether the rest of the stream is for the node to get that has sent the request. */
    private boolean brokenStreamGoesBack() {
        return !source.mayDetour() && callerResponse.headersWritten();
    }

    private boolean tryTakeRetry() {
        if (retryReserved) {
            retryReserved = false;
            return true;
        }
        boolean taken = dispatcher.tryTakeRetry(service());
        log.retry(taken, dispatcher.nodeCount());
        return taken;
    }

    private void forwardAnswer() {
        if (answer.succeeded() && target.isWorker()) {
            gate.answered(answer.selfDelimited());
        }
        end.forward(target, answer, answerHeaders, nowMillis() - arrivedMillis, this::dropAnswer);
    }

    /**
     * Ends a request that has reached its maximum time in the queue: refuses it, or fails it if an earlier attempt may
     * have run.
     */
    void onQueueTimeout() {
        endUnplaced("no place within the longest wait", 0);
    }

    private void endUnplaced(String reason, long backlogMillis) {
        queued = false;
        end.unplaced(reason, backlogMillis, leftMillis());
    }

    private void onDeadline() {
        if (done) {
            return;
        }
        boolean unsent = attempt == null && counts.runs() == 0;
        cancelWork();
        if (unsent) {
            end.refuse("the deadline passed while it waited", 0, leftMillis());
        } else {
            end.fail(RequestEnd.GATEWAY_TIMEOUT, "the deadline passed");
        }
    }

    private void onCallerGone() {
        if (!done) {
            log.callerGone(counts.arrivals());
            cancelWork();
            finish();
        }
    }

    private void cancelWork() {
        if (queued) {
            dispatcher.withdraw(this);
            queued = false;
        }
        if (attempt != null) {
            attempt.cancel();
            endAttempt();
        }
    }

    private void finish() {
        done = true;
        body = new RequestBody(0);
        if (!callerResponse.writesAnswer()) {
            dropAnswer();
        }
        deadlineTimer.cancel();
        responseTimer.cancel();
        onDone.run();
    }
}
