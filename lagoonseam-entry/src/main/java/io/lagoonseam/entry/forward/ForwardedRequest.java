package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.AttemptPolicy;
import io.lagoonseam.core.forward.AttemptResult;
import io.lagoonseam.core.forward.Lane;
import io.lagoonseam.core.forward.NextStep;
import io.lagoonseam.core.forward.OutlierDetector;
import io.lagoonseam.core.forward.PromptSegments;
import io.lagoonseam.core.forward.RetryAfter;
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

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;

    private final ForwardEnvironment environment;
    private final ForwardDispatcher dispatcher;
    private final RequestLog log;
    private final AdmittedRequest admitted;
    private final HttpServerRequest request;
    private final CallerResponse callerResponse;
    private final Buffer body;
    private final long arrivedMillis;
    private final long deadlineMillis;
    private final Set<String> triedWorkers = new HashSet<>();
    private final RouteTimes times;
    private final QuarantineGate gate;
    private final Runnable onDone;
    private EventSplitter splitter = new EventSplitter();
    private Buffer bufferedBody = Buffer.buffer();
    private String lastEventId;
    /** The software version that began the stream, empty before the first event, or if it is not known. */
    private String softwareVersion;

    private boolean begun;
    private long heldBytes;
    private UpstreamAttempt attempt;
    private AttemptTarget target;
    private long queueDeadlineMillis;
    private long sentMillis;

    private UpstreamResponseHeaders answer;
    private MultiMap answerHeaders;
    /** Number of attempts that a worker has run or may have run. */
    private int runs;
    /** Number of attempts that a worker proved not to have run. */
    private int rejections;

    private int connectFailures;
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
            HttpServerRequest request,
            Buffer body,
            long arrivedMillis,
            Runnable onDone) {
        this.environment = environment;
        this.dispatcher = dispatcher;
        this.admitted = admitted;
        this.request = request;
        this.callerResponse = new CallerResponse(environment.protocol(), request);
        this.body = body;
        this.arrivedMillis = arrivedMillis;
        this.log = new RequestLog(environment, metrics, admitted, arrivedMillis);
        this.times = new RouteTimes(admitted.route());
        this.gate = dispatcher.newGate(admitted, request, body);
        this.deadlineTimer = new RequestTimer(environment.vertx());
        this.responseTimer = new RequestTimer(environment.vertx());
        this.onDone = onDone;
        this.lastEventId = admitted.callerHeaders().lastEventId();
        this.softwareVersion = admitted.softwareVersion();
        long callerTimeoutMillis = admitted.callerHeaders().timeoutMillis();
        long timeoutMillis = admitted.route().timeoutMillis();
        this.deadlineMillis = arrivedMillis
                + (callerTimeoutMillis > 0 ? Math.min(callerTimeoutMillis, timeoutMillis) : timeoutMillis);
    }

    @Override
    public String service() {
        return admitted.service();
    }

    @Override
    public int priority() {
        return admitted.priority();
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
                softwareVersion);
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
        return begun && softwareVersion.isEmpty() ? WorkKind.STREAM : kind();
    }

    private long nowMillis() {
        return environment.time().monotonicMillis();
    }

    private long remainingMillis() {
        return deadlineMillis - nowMillis();
    }

    /** Starts processing: registers for the caller's disconnection, starts the deadline timer, queues the request. */
    void start() {
        request.response().closeHandler(nothing -> onCallerGone());
        request.response().exceptionHandler(cause -> onCallerGone());
        deadlineTimer.restart(remainingMillis() + DEADLINE_GRACE_MILLIS, this::onDeadline);
        dispatcher.countRequest(service());
        log.accepted(remainingMillis(), gate.digest());
        enter();
    }

    /** Queues the request, unless it is in quarantine and not let through. */
    private void enter() {
        gate.endTry();
        if (gate.passes()) {
            submit();
        } else if (runs + rejections > 0) {
            endQuarantined();
        } else {
            gate.tryOnce().thenAccept(allowed -> {
                if (done) {
                    return;
                }
                if (allowed) {
                    log.letThrough();
                    submit();
                } else {
                    endQuarantined();
                }
            });
        }
    }

    private void endQuarantined() {
        String reason = gate.reason();
        if (runs > 0) {
            respondFromNode(BAD_GATEWAY, 0, reason);
        } else {
            respondFromNode(SERVICE_UNAVAILABLE, QuarantineGate.RETRY_AFTER_MILLIS, reason);
        }
    }

    /** Takes the request from a worker that has not begun to answer it if it has come into quarantine. */
    void onQuarantined() {
        if (attempt != null && gate.awaitsAnswer() && !gate.passes()) {
            attempt.cancel();
            endAttempt();
            endQuarantined();
        }
    }

    private void submit() {
        queued = true;
        long waitMillis = times.queueWaitMillis(!dispatcher.workers().isEmpty(), !softwareVersion.isEmpty());
        queueDeadlineMillis = Math.min(deadlineMillis, nowMillis() + waitMillis);
        dispatcher.submit(this, queueDeadlineMillis);
    }

    /** Called when the request waits, at this node or at the home of its service. */
    @Override
    public void onQueued() {
        log.queued(queueDeadlineMillis - nowMillis());
    }

    @Override
    public void onGranted(PlacementDecision.Granted granted, Placement granting) {
        Optional<UpstreamChooser.Choice> choice = dispatcher.choice(granted, demand());
        if (choice.isEmpty()) {
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
        log.sent(choice, decidedBy, triedWorkers.size(), tokensBefore, lastEventId);
        gate.sending(choice.worker().record());
        UpstreamRequestHeaders added = new UpstreamRequestHeaders(
                to.name(),
                Math.max(1, remainingMillis()),
                priority(),
                admitted.workspace(),
                lastEventId,
                choice.copyFrom()
                        .map(from -> new ListenAddress(
                                from.record().host(), from.record().port())));
        attempt(to, environment.protocol().upstreamHeaders(request.headers(), added));
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
        runs++;
        sentMillis = nowMillis();
        if (kind().retryable()) {
            responseTimer.restart(times.responseTimeoutMillis(target.expectedMillis()), this::onResponseTimeout);
        }
    }

    private void onResponseTimeout() {
        if (done || attempt == null) {
            return;
        }
        boolean attemptsLeft = runs < admitted.route().maxAttempts() && remainingMillis() > 0;
        boolean mayGoOn = remainingKind().retryable() && target.mayGoOnElsewhere(softwareVersion);
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
    public void onHeaders(UpstreamResponseHeaders received, MultiMap headers) {
        answer = received;
        answerHeaders = headers;
        target.onHeaders(received, sentMillis);
    }

    @Override
    public void onBody(Buffer bytes) {
        target.onBody();
        if (!kind().stream() || !answer.succeeded()) {
            bufferedBody.appendBuffer(bytes);
            hold(bufferedBody.length());
            return;
        }
        if (!answer.genuine()) {
            attempt.cancel();
            onFailure(new AttemptResult.Broken(MISSING_SEAL));
            return;
        }
        Buffer events = splitter.feed(bytes);
        if (events.length() > 0) {
            onEvents(events);
        }
        hold(splitter.rest().length());
    }

    private void hold(long bytes) {
        if (bytes != heldBytes) {
            heldBytes = bytes;
            dispatcher.answerBuffers().hold(this, bytes).ifPresent(ForwardedRequest::giveUpAnswer);
        }
    }

    private void giveUpAnswer() {
        long bytes = heldBytes;
        dropAnswer();
        attempt.cancel();
        onFailure(new AttemptResult.Broken("the answer occupies " + bytes + " bytes without an end"));
    }

    private void dropAnswer() {
        bufferedBody = Buffer.buffer();
        splitter = new EventSplitter(lastEventId);
        hold(0);
    }

    private void onEvents(Buffer events) {
        boolean progressed = splitter.progressed();
        if (progressed) {
            gate.answerBegan();
        }
        if (progressed && (target.readsPrompt() || !callerResponse.headersWritten())) {
            target.onFirstEvent(nowMillis() - sentMillis);
        }
        if (!splitter.lastId().isEmpty()) {
            lastEventId = splitter.lastId();
        }
        if (progressed && !begun) {
            begin();
        }
        callerResponse.writeHeaders(answer, answerHeaders, nowMillis() - arrivedMillis);
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
        begun = true;
        if (softwareVersion.isEmpty()) {
            softwareVersion = target.softwareVersion();
        }
        if (kind().retryable()) {
            long lifetimeMillis =
                    times.originLifetimeMillis(admitted.callerHeaders().timeoutMillis());
            dispatcher.origins().began(admitted.stream(), new StreamOrigin(service(), softwareVersion), lifetimeMillis);
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
        if (answer.notRun() || answer.wrongWorker()) {
            // onSending counted this attempt as run; the worker has proved that it was not
            runs--;
            rejections++;
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
        if (endsWithinEvent()) {
            target.observe(OutlierDetector.Outcome.FAILED);
            decide(new AttemptResult.Broken("the stream ended within an event"));
            return;
        }
        // a worker that asks for a pause is overloaded, not failing
        boolean failed = answer.status() >= 500 && answer.retryAfterMillis() == 0;
        target.observe(failed ? OutlierDetector.Outcome.FAILED : OutlierDetector.Outcome.ANSWERED);
        decide(new AttemptResult.Answered(answer.status()));
    }

    /** Returns whether a stream of events, on any kind of route, has ended before the end of its last event. */
    private boolean endsWithinEvent() {
        if (kind().stream() && answer.succeeded()) {
            return splitter.rest().length() > 0;
        }
        return answer.eventStream() && EventSplitter.endsWithinEvent(bufferedBody);
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
            connectFailures++;
        }
        target.observeFailure(result);
        log.attemptFailed(target.name(), result, sentMillis, lastEventId);
        if (result instanceof AttemptResult.Broken) {
            gate.brokeOff();
        }
        decide(result);
    }

    private void decide(AttemptResult result) {
        if (done) {
            return;
        }
        AttemptPolicy.History history = new AttemptPolicy.History(
                remainingKind(), admitted.route().maxAttempts(), runs, rejections, connectFailures, remainingMillis());
        NextStep step = AttemptPolicy.next(result, history, () -> gate.mayRetry() && tryTakeRetry());
        switch (step) {
            case RETRY -> {
                dropAnswer();
                enter();
            }
            case FORWARD_ANSWER -> forwardAnswer();
            case REFUSE -> refuse(result.toString());
            case FAIL ->
                respondFromNode(
                        result instanceof AttemptResult.Silent ? GATEWAY_TIMEOUT : BAD_GATEWAY, 0, result.toString());
        }
        dispatcher.dispatchQueued();
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
        if (answer.succeeded()) {
            gate.answered(answer.selfDelimited());
        }
        if (kind().stream() && answer.succeeded()) {
            callerResponse.writeHeaders(answer, answerHeaders, nowMillis() - arrivedMillis);
            if (!answer.selfDelimited() && !callerResponse.closeDelimited()) {
                abort("a resumed stream ended without a length or chunks");
                return;
            }
            callerResponse.endStream();
        } else if (callerResponse.headersWritten()) {
            abort("a resumed stream ended with status " + answer.status());
            return;
        } else {
            callerResponse.writeComplete(answer, answerHeaders, bufferedBody);
        }
        log.answered(target.name(), answer.status(), callerResponse.firstEventMillis(), arrivals());
        finish();
    }

    /** Refuses a request that provably has not run and states when to retry. */
    private void refuse(String reason) {
        refuse(reason, 0);
    }

    private void refuse(String reason, long backlogMillis) {
        long retryAfterMillis = RetryAfter.delayMillis(
                remainingMillis(),
                Math.max(backlogMillis, dispatcher.limitBacklogMillis(service())),
                dispatcher.pauseMillis(service()),
                environment.random().nextDouble());
        respondFromNode(SERVICE_UNAVAILABLE, retryAfterMillis, reason);
    }

    private void respondFromNode(int status, long retryAfterMillis, String reason) {
        if (callerResponse.headersWritten()) {
            abort(reason);
            return;
        }
        if (status == SERVICE_UNAVAILABLE) {
            log.refused(status, reason, arrivals(), retryAfterMillis);
        } else {
            log.failed(status, reason, arrivals(), lastEventId);
        }
        callerResponse.writeNodeResponse(
                status, admitted.callerHeaders().requestId(), retryAfterMillis, gate.passes() ? "" : reason);
        finish();
    }

    private void abort(String reason) {
        log.failed(answer == null ? 0 : answer.status(), "broken off: " + reason, arrivals(), lastEventId);
        finish();
        callerResponse.abort();
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
        if (runs > 0) {
            respondFromNode(BAD_GATEWAY, 0, reason);
        } else {
            refuse(reason, backlogMillis);
        }
    }

    private void onDeadline() {
        if (done) {
            return;
        }
        boolean unsent = attempt == null && runs == 0;
        cancelWork();
        if (unsent) {
            refuse("the deadline passed while it waited");
        } else {
            respondFromNode(GATEWAY_TIMEOUT, 0, "the deadline passed");
        }
    }

    private void onCallerGone() {
        if (!done) {
            log.callerGone(arrivals());
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

    private int arrivals() {
        return runs + rejections;
    }

    private void finish() {
        done = true;
        dropAnswer();
        deadlineTimer.cancel();
        responseTimer.cancel();
        onDone.run();
    }
}
