package io.lagoonseam.entry.ratelimit;

import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.ratelimit.AnnouncedLimits;
import io.lagoonseam.core.ratelimit.IssuerStanding;
import io.lagoonseam.core.ratelimit.LimitReport;
import io.lagoonseam.core.ratelimit.PermitAsk;
import io.lagoonseam.core.ratelimit.PermitIssuer;
import io.lagoonseam.core.ratelimit.WorkerIncarnation;
import io.lagoonseam.core.time.StallDetector;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.wire.MessageTypes;
import io.lagoonseam.wire.PermitMessages.Answer;
import io.lagoonseam.wire.PermitMessages.Ask;
import io.lagoonseam.wire.PermitMessages.Outcome;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

/** Issues permits to the nodes that ask this one. Not thread-safe: all calls and callbacks run on one event loop. */
public final class PermitServer {

    /** The longest time that a question waits, in milliseconds. */
    static final long MAX_WAIT_MILLIS = 400;

    /** The longest time between two checks in which this process counts as running, in milliseconds. */
    private static final long MAX_STALL_MILLIS = 900;

    private final TimeSource time;
    private final AnnouncedLimits limits;
    private final IssuerStanding standing;
    private final Consumer<LimitReport> onReport;
    private final PermitIssuer issuer;
    private final StallDetector stallDetector;
    private final Map<PermitAsk, Unanswered> unanswered = new HashMap<>();
    private Runnable onWork = () -> {};
    private boolean stopped;

    private record Unanswered(LimitReport limit, CompletableFuture<Answer> answer) {}

    /**
     * Creates a server that has issued nothing.
     *
     * @param time the clocks
     * @param transport the transport between nodes
     * @param limits the limits of workers
     * @param standing determines which share of the limits this node may issue
     * @param onReport applies what another node knows of a limit
     */
    public PermitServer(
            TimeSource time,
            PeerTransport transport,
            AnnouncedLimits limits,
            IssuerStanding standing,
            Consumer<LimitReport> onReport) {
        this.time = time;
        this.limits = limits;
        this.standing = standing;
        this.onReport = onReport;
        this.issuer = new PermitIssuer(this::issuedPerSecond);
        this.stallDetector = new StallDetector(time, MAX_STALL_MILLIS);
        transport.register(
                MessageTypes.PERMIT,
                (sender, payload) -> ask(sender, Ask.decode(payload)).thenApply(Answer::encode));
    }

    /**
     * Sets what to call when questions wait.
     *
     * @param value causes calls of {@link #tick} as long as {@link #waiting} is not 0
     */
    public void onWork(Runnable value) {
        this.onWork = value;
    }

    private double issuedPerSecond(WorkerIncarnation worker) {
        return limits.perSecond(worker).orElse(0) * standing.share(worker.service(), time.monotonicMillis());
    }

    /**
     * Handles a question of a node.
     *
     * @param node the id of the node
     * @param ask the question
     * @return completes with the answer
     */
    CompletionStage<Answer> ask(String node, Ask ask) {
        checkStall();
        long nowMillis = time.monotonicMillis();
        onReport.accept(ask.limit());
        WorkerIncarnation worker = ask.limit().worker();
        boolean issues = !stopped && standing.share(worker.service(), nowMillis) > 0;
        if (!issues || limits.perSecond(worker).isEmpty()) {
            return CompletableFuture.completedFuture(
                    new Answer(issues ? Outcome.DENIED : Outcome.NO_ISSUER, known(ask.limit())));
        }
        PermitAsk question = new PermitAsk(
                worker, node, ask.number(), ask.priority(), nowMillis + Math.min(ask.waitMillis(), MAX_WAIT_MILLIS));
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        unanswered.put(question, new Unanswered(ask.limit(), answer));
        complete(issuer.ask(question, nowMillis));
        if (!unanswered.isEmpty()) {
            onWork.run();
        }
        return answer;
    }

    private LimitReport known(LimitReport reported) {
        return limits.report(reported.worker(), time.monotonicMillis()).orElse(reported);
    }

    private void complete(List<PermitIssuer.Answer> answers) {
        for (PermitIssuer.Answer answered : answers) {
            Unanswered asked = unanswered.remove(answered.ask());
            if (asked != null) {
                Outcome outcome = answered.granted() ? Outcome.GRANTED : Outcome.DENIED;
                asked.answer().complete(new Answer(outcome, known(asked.limit())));
            }
        }
    }

    /** Answers the questions that are due; called every 10 ms while questions wait, else several times a second. */
    public void tick() {
        checkStall();
        complete(issuer.tick(time.monotonicMillis()));
    }

    /** Starts anew if this process did not run for a while: another node may have issued permits meanwhile. */
    private void checkStall() {
        if (stallDetector.check()) {
            standing.reset(time.monotonicMillis());
            complete(issuer.reset());
        }
    }

    /** Returns the number of questions that wait. */
    public int waiting() {
        return unanswered.size();
    }

    /**
     * Forgets the workers that no longer exist.
     *
     * @param existing the workers that exist
     */
    public void retain(Set<WorkerIncarnation> existing) {
        issuer.retain(existing);
    }

    /** Ends the issue of permits: nodes that ask are told to ask another one. */
    public void stop() {
        stopped = true;
        complete(issuer.reset());
    }
}
