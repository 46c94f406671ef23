package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.AttemptPolicy;
import io.lagoonseam.core.forward.AttemptResult;
import io.lagoonseam.core.forward.Lane;
import io.lagoonseam.core.forward.NextStep;
import io.lagoonseam.core.forward.PromptParts;
import io.lagoonseam.core.forward.RetryAfter;
import io.lagoonseam.core.forward.Route;
import io.lagoonseam.core.forward.UpstreamChooser;
import io.lagoonseam.core.forward.UpstreamState;
import io.lagoonseam.core.forward.UpstreamTrust;
import io.lagoonseam.core.forward.WorkKind;
import io.lagoonseam.entry.settings.ListenAddress;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * One request of a caller from its last byte to the end of its answer: it waits for a worker, is sent, maybe sent
 * again, and its answer is passed on. The final answer follows each decision at once.
 */
final class ForwardedRequest implements UpstreamAttempt.Listener {

    /** The largest body of an answer that is held before it is passed on, in bytes. */
    private static final int HELD_BYTES = 8 << 20;

    /** How long a worker's own answer at the deadline is waited for, in milliseconds: a way between data centres. */
    private static final long DEADLINE_GRACE_MILLIS = 15;

    /** The part of the objective that a request waits for a place before it is refused. */
    private static final double WAIT_SHARE = 0.35;

    /** The part of the objective that a request waits if its service has no worker at all. */
    private static final double LOST_WAIT_SHARE = 0.12;

    /** The objectives after which a worker that has sent nothing of repeatable work is held silent. */
    private static final double SILENT_OBJECTIVES = 1.5;

    /** The longest pauses after which a worker that sends nothing more of a resumable stream is held silent. */
    private static final double SILENT_GAPS = 3;

    private static final String WITHOUT_MARK = "a success without the worker's mark";

    private static final int OK_LOW = 200;
    private static final int OK_HIGH = 299;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;

    private final ForwardEnvironment environment;
    private final ForwardDispatcher dispatcher;
    private final RequestLog log;
    private final Admitted admitted;
    private final HttpServerRequest request;
    private final CallerAnswer callerAnswer;
    private final Buffer body;
    private final long arrivedMillis;
    private final long deadlineMillis;
    private final Set<String> tried = new HashSet<>();
    private final Runnable onDone;
    private EventSplitter splitter = new EventSplitter();
    private Buffer held = Buffer.buffer();
    private String lastEventId;
    private UpstreamAttempt attempt;
    private UpstreamState worker;
    private long unreadTokens;
    private long tokensAhead;
    private long sentMillis;
    private AnswerHead answer;
    private MultiMap answerHeaders;
    private int runs;
    private int rejections;
    private int connectFailures;
    private boolean waiting;
    private boolean repeatInHand;
    private boolean done;
    private long deadlineTimer = -1;
    private long silenceTimer = -1;

    /**
     * What was found for a request before it is forwarded.
     *
     * @param head what the caller says
     * @param route its route
     * @param lane its lane at the service
     * @param service its service
     * @param workspace its workspace, empty for an anonymous one
     * @param priority its rank
     */
    record Admitted(CallerHead head, Route route, Lane lane, String service, String workspace, int priority) {}

    ForwardedRequest(
            ForwardEnvironment environment,
            ForwardDispatcher dispatcher,
            RequestMetrics metrics,
            Admitted admitted,
            HttpServerRequest request,
            Buffer body,
            long arrivedMillis,
            Runnable onDone) {
        this.environment = environment;
        this.dispatcher = dispatcher;
        this.admitted = admitted;
        this.request = request;
        this.callerAnswer = new CallerAnswer(environment.protocol(), request);
        this.body = body;
        this.arrivedMillis = arrivedMillis;
        this.log = new RequestLog(environment, metrics, admitted, arrivedMillis);
        this.onDone = onDone;
        this.lastEventId = admitted.head().lastEventId();
        long waitMillis = admitted.head().waitMillis();
        long timeoutMillis = admitted.route().timeoutMillis();
        this.deadlineMillis = arrivedMillis + (waitMillis > 0 ? Math.min(waitMillis, timeoutMillis) : timeoutMillis);
    }

    String service() {
        return admitted.service();
    }

    int priority() {
        return admitted.priority();
    }

    PromptParts prompt() {
        return admitted.head().prompt();
    }

    Lane lane() {
        return admitted.lane();
    }

    long objectiveMillis() {
        return admitted.route().objectiveMillis();
    }

    Set<String> tried() {
        return tried;
    }

    private WorkKind kind() {
        return admitted.route().kind();
    }

    long objectiveLeftMillis(long nowMillis) {
        return Math.max(0, arrivedMillis + admitted.route().objectiveMillis() - nowMillis);
    }

    private long nowMillis() {
        return environment.time().monotonicMillis();
    }

    private long leftMillis() {
        return deadlineMillis - nowMillis();
    }

    /** Begins the request's way. */
    void begin() {
        request.response().closeHandler(nothing -> onCallerGone());
        request.response().exceptionHandler(cause -> onCallerGone());
        long deadlineDelayMillis = Math.max(1, leftMillis() + DEADLINE_GRACE_MILLIS);
        deadlineTimer = environment.vertx().setTimer(deadlineDelayMillis, timer -> onDeadline());
        dispatcher.count(service());
        log.taken(leftMillis());
        submit();
    }

    private void submit() {
        waiting = true;
        double share = dispatcher.workers().isEmpty() ? LOST_WAIT_SHARE : WAIT_SHARE;
        long waitMillis = Math.round(share * admitted.route().objectiveMillis());
        dispatcher.submit(this, Math.min(deadlineMillis, nowMillis() + waitMillis));
        if (waiting) {
            log.waits(waitMillis);
        }
    }

    /** Sends the request to a chosen worker. */
    void send(UpstreamChooser.Choice choice) {
        waiting = false;
        worker = choice.worker();
        Optional<WorkerConnections> connections =
                dispatcher.connections(worker.record().id());
        tokensAhead = worker.pendingTokens(nowMillis());
        unreadTokens = choice.tokensToRead();
        worker.started(unreadTokens, prompt().tokens());
        if (prompt().sharedTokens() > 0) {
            worker.keptParts().used(prompt().affinity(), nowMillis());
        }
        tried.add(worker.record().id());
        log.sent(choice, tried.size(), tokensAhead, lastEventId);
        answer = null;
        held = Buffer.buffer();
        splitter = new EventSplitter(lastEventId);
        if (connections.isEmpty()) {
            onFailure(new AttemptResult.NotRun("the worker has left", false));
            return;
        }
        UpstreamHead head = new UpstreamHead(
                worker.record().id(),
                Math.max(1, leftMillis()),
                priority(),
                admitted.workspace(),
                lastEventId,
                choice.copyFrom()
                        .map(from -> new ListenAddress(
                                from.record().host(), from.record().port())));
        MultiMap headers = environment.protocol().upstreamHeaders(request.headers(), head);
        attempt = new UpstreamAttempt(
                environment.protocol(),
                connections.get(),
                new UpstreamAttempt.Message(
                        request.method(),
                        request.uri(),
                        headers,
                        body,
                        admitted.head().requestId()),
                this);
        sentMillis = nowMillis();
        attempt.start();
    }

    @Override
    public void onSent() {
        runs++;
        sentMillis = nowMillis();
        if (kind().repeatable()) {
            long patienceMillis =
                    Math.round(SILENT_OBJECTIVES * admitted.route().objectiveMillis());
            watchSilence(Math.max(patienceMillis, expectedMillis()));
        }
    }

    private long expectedMillis() {
        return Math.round(2 * worker.firstEventTime().expectedMillis(tokensAhead + unreadTokens));
    }

    private void watchSilence(long millis) {
        environment.vertx().cancelTimer(silenceTimer);
        silenceTimer = environment.vertx().setTimer(Math.max(1, millis), timer -> onSilence());
    }

    private void onSilence() {
        if (done || attempt == null) {
            return;
        }
        boolean another = runs < admitted.route().maxAttempts() && leftMillis() > 0;
        if (!another || !tryRepeat()) {
            // without a repeat a late answer is better than none
            return;
        }
        repeatInHand = true;
        attempt.cancel();
        long sinceMillis = sentMillis;
        dispatcher.connections(worker.record().id()).ifPresent(connections -> connections.doubt(sinceMillis));
        onFailure(new AttemptResult.Silent());
    }

    @Override
    public void onHead(AnswerHead head, MultiMap headers) {
        answer = head;
        answerHeaders = headers;
        head.load().ifPresent(load -> worker.hint(load, nowMillis()));
    }

    private boolean succeeds() {
        return answer.status() >= OK_LOW && answer.status() <= OK_HIGH;
    }

    @Override
    public void onBody(Buffer bytes) {
        if (!kind().stream() || !succeeds()) {
            held.appendBuffer(bytes);
            if (held.length() > HELD_BYTES) {
                attempt.cancel();
                onFailure(new AttemptResult.Broken("the answer is over " + HELD_BYTES + " bytes"));
            }
            return;
        }
        if (!answer.genuine()) {
            attempt.cancel();
            onFailure(new AttemptResult.Broken(WITHOUT_MARK));
            return;
        }
        Buffer events = splitter.feed(bytes);
        if (events.length() > 0) {
            onEvents(events);
        }
    }

    private void onEvents(Buffer events) {
        if (unreadTokens > 0 || !callerAnswer.begun()) {
            observeFirstEvent();
        }
        if (!splitter.lastId().isEmpty()) {
            lastEventId = splitter.lastId();
        }
        if (kind().repeatable()) {
            watchSilence(Math.round(SILENT_GAPS * admitted.route().gapObjectiveMillis()));
        }
        callerAnswer.begin(answer, answerHeaders, nowMillis() - arrivedMillis);
        callerAnswer.events(events, attempt);
    }

    private void observeFirstEvent() {
        worker.firstEventTime().observe(tokensAhead + unreadTokens, nowMillis() - sentMillis);
        if (prompt().sharedTokens() > 0) {
            dispatcher.partRead(worker.record().id(), prompt().affinity());
        }
        promptRead();
    }

    private void promptRead() {
        worker.promptRead(unreadTokens);
        unreadTokens = 0;
    }

    @Override
    public void onEnd() {
        endAttempt();
        if (answer.notRun() || answer.wrongWorker()) {
            runs--;
            rejections++;
            if (answer.wrongWorker()) {
                observe(worker, UpstreamTrust.Outcome.REPLACED);
            }
            decide(new AttemptResult.NotRun("status " + answer.status(), true));
            return;
        }
        if (succeeds() && !answer.genuine()) {
            observe(worker, UpstreamTrust.Outcome.FAILED);
            decide(new AttemptResult.Broken(WITHOUT_MARK));
            return;
        }
        observe(worker, answer.status() >= 500 ? UpstreamTrust.Outcome.FAILED : UpstreamTrust.Outcome.ANSWERED);
        decide(new AttemptResult.Answered(answer.status()));
    }

    private void observe(UpstreamState from, UpstreamTrust.Outcome outcome) {
        boolean aside = from.trust().aside();
        dispatcher.observe(from, outcome);
        log.observed(from, outcome, aside);
    }

    private void endAttempt() {
        environment.vertx().cancelTimer(silenceTimer);
        promptRead();
        worker.ended(prompt().tokens());
        attempt = null;
    }

    @Override
    public void onFailure(AttemptResult result) {
        endAttempt();
        if (result instanceof AttemptResult.NotRun) {
            connectFailures++;
            observe(worker, UpstreamTrust.Outcome.SILENT);
        } else {
            observe(
                    worker,
                    result instanceof AttemptResult.Silent
                            ? UpstreamTrust.Outcome.SILENT
                            : UpstreamTrust.Outcome.FAILED);
        }
        log.attemptFailed(worker, result, sentMillis, lastEventId);
        decide(result);
    }

    private void decide(AttemptResult result) {
        if (done) {
            return;
        }
        AttemptPolicy.History history = new AttemptPolicy.History(
                kind(), admitted.route().maxAttempts(), runs, rejections, connectFailures, leftMillis());
        NextStep step = AttemptPolicy.next(result, history, this::tryRepeat);
        switch (step) {
            case SEND_AGAIN -> submit();
            case PASS_ANSWER -> passAnswer();
            case REFUSE -> refuse(result.toString());
            case FAIL ->
                fail(result instanceof AttemptResult.Silent ? GATEWAY_TIMEOUT : BAD_GATEWAY, result.toString());
        }
        dispatcher.pump();
    }

    private boolean tryRepeat() {
        if (repeatInHand) {
            repeatInHand = false;
            return true;
        }
        boolean taken = dispatcher.tryRepeat(service());
        log.repeat(taken, dispatcher.nodes());
        return taken;
    }

    private void passAnswer() {
        if (kind().stream() && succeeds()) {
            callerAnswer.begin(answer, answerHeaders, nowMillis() - arrivedMillis);
            callerAnswer.endStream(splitter.rest());
        } else if (callerAnswer.begun()) {
            breakOff("a resumed stream ended with status " + answer.status());
            return;
        } else {
            callerAnswer.whole(answer, answerHeaders, held);
        }
        log.answered(worker, answer.status(), callerAnswer.firstEventMillis(), arrivals());
        finish();
    }

    /** Gives the request up while it has surely not run. */
    private void refuse(String reason) {
        long pauseMillis = RetryAfter.millis(leftMillis(), environment.random().nextDouble());
        answerOwn(SERVICE_UNAVAILABLE, pauseMillis, reason);
    }

    private void fail(int status, String reason) {
        answerOwn(status, 0, reason);
    }

    private void answerOwn(int status, long retryAfterMillis, String reason) {
        if (callerAnswer.begun()) {
            breakOff(reason);
            return;
        }
        if (status == SERVICE_UNAVAILABLE) {
            log.refused(status, reason, arrivals(), retryAfterMillis);
        } else {
            log.failed(status, reason, arrivals(), lastEventId);
        }
        callerAnswer.own(status, admitted.head().requestId(), retryAfterMillis);
        finish();
    }

    private void breakOff(String reason) {
        log.failed(answer == null ? 0 : answer.status(), "broken off: " + reason, arrivals(), lastEventId);
        finish();
        callerAnswer.breakOff();
    }

    /** The request has waited for so long that it is refused. */
    void onWaitedTooLong() {
        waiting = false;
        String reason = "no place within the longest wait";
        if (runs > 0) {
            fail(BAD_GATEWAY, reason);
        } else {
            refuse(reason);
        }
    }

    private void onDeadline() {
        if (done) {
            return;
        }
        boolean unsent = waiting && runs == 0;
        abandon();
        if (unsent) {
            refuse("the deadline passed while it waited");
        } else {
            fail(GATEWAY_TIMEOUT, "the deadline passed");
        }
    }

    private void onCallerGone() {
        if (!done) {
            log.left(arrivals());
            abandon();
            finish();
        }
    }

    private void abandon() {
        if (waiting) {
            dispatcher.withdraw(this);
            waiting = false;
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
        environment.vertx().cancelTimer(deadlineTimer);
        environment.vertx().cancelTimer(silenceTimer);
        onDone.run();
    }
}
