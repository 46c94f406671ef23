package io.lagoonseam.entry.ratelimit;

import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.ratelimit.AnnouncedLimits;
import io.lagoonseam.core.ratelimit.IssuerStanding;
import io.lagoonseam.core.ratelimit.LimitReport;
import io.lagoonseam.core.ratelimit.Permit;
import io.lagoonseam.core.ratelimit.PermitPool;
import io.lagoonseam.core.ratelimit.PermitSource;
import io.lagoonseam.core.ratelimit.WorkerIncarnation;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.wire.MessageTypes;
import io.lagoonseam.wire.PermitMessages.Answer;
import io.lagoonseam.wire.PermitMessages.Ask;
import io.lagoonseam.wire.PermitMessages.Outcome;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Asks the issuers of permits on behalf of this node. Without an answer there is no permit: requests go to other
 * workers or wait. Not thread-safe: all calls and callbacks run on one event loop.
 */
public final class PermitClient implements PermitSource {

    private static final long REPLY_TIMEOUT_MILLIS = PermitServer.MAX_WAIT_MILLIS + 300;

    /** How long an issuer that did not answer, or issues no permits, is left out, in milliseconds. */
    private static final long LEFT_OUT_MILLIS = 1_500;

    private final TimeSource time;
    private final PeerTransport transport;
    private final PermitServer ownServer;
    private final String ownId;
    private final Executor eventLoop;
    private final AnnouncedLimits limits;
    private final IssuerStanding standing;
    private final Consumer<LimitReport> onReport;
    private final PermitPool pool;
    private final Map<String, Long> leftOutUntilMillis = new HashMap<>();
    private Runnable onPermit = () -> {};

    /**
     * What a client needs from its node.
     *
     * @param time the clocks
     * @param transport the transport between nodes
     * @param ownId the id of this node
     * @param eventLoop runs the callbacks
     */
    public record Environment(TimeSource time, PeerTransport transport, String ownId, Executor eventLoop) {}

    /**
     * Creates a client without permits.
     *
     * @param environment what it needs from its node
     * @param ownServer issues permits at this node
     * @param limits the limits of workers
     * @param standing ranks the issuers
     * @param onReport applies what another node knows of a limit
     */
    public PermitClient(
            Environment environment,
            PermitServer ownServer,
            AnnouncedLimits limits,
            IssuerStanding standing,
            Consumer<LimitReport> onReport) {
        this.time = environment.time();
        this.transport = environment.transport();
        this.ownId = environment.ownId();
        this.eventLoop = environment.eventLoop();
        this.ownServer = ownServer;
        this.limits = limits;
        this.standing = standing;
        this.onReport = onReport;
        this.pool = new PermitPool(time);
    }

    /**
     * Sets what to call when a permit has arrived.
     *
     * @param value dispatches queued requests
     */
    public void onPermit(Runnable value) {
        this.onPermit = value;
    }

    @Override
    public boolean available(WorkerIncarnation worker, int priority) {
        if (limits.perSecond(worker).isEmpty()) {
            return true;
        }
        if (!pool.holds(worker)) {
            ask(worker, priority);
        }
        return pool.holds(worker);
    }

    @Override
    public Permit take(WorkerIncarnation worker) {
        return limits.perSecond(worker).isEmpty() ? Permit.UNLIMITED : pool.take(worker);
    }

    @Override
    public double limitPerSecond(WorkerIncarnation worker) {
        return limits.perSecond(worker).orElse(Double.POSITIVE_INFINITY);
    }

    private void ask(WorkerIncarnation worker, int priority) {
        Optional<String> issuer = issuer(worker.service());
        Optional<LimitReport> limit = limits.report(worker, time.monotonicMillis());
        if (issuer.isEmpty() || limit.isEmpty()) {
            return;
        }
        OptionalLong number = pool.startAsk(worker, priority);
        if (number.isEmpty()) {
            return;
        }
        String node = issuer.get();
        Ask ask = new Ask(limit.get(), number.getAsLong(), priority, PermitServer.MAX_WAIT_MILLIS);
        if (node.equals(ownId)) {
            ownServer.ask(ownId, ask).thenAccept(answer -> onAnswer(node, ask, Optional.of(answer)));
            return;
        }
        transport
                .request(node, MessageTypes.PERMIT, ask.encode(), REPLY_TIMEOUT_MILLIS)
                .thenAccept(reply -> eventLoop.execute(() -> onAnswer(node, ask, decode(reply))));
    }

    private static Optional<Answer> decode(PeerReply reply) {
        return reply instanceof PeerReply.Answered answered
                ? Optional.of(Answer.decode(answered.payload()))
                : Optional.empty();
    }

    /** Returns the first issuer that is not left out. */
    private Optional<String> issuer(String service) {
        long nowMillis = time.monotonicMillis();
        List<String> issuers = standing.issuers(service);
        return issuers.stream()
                .filter(node -> leftOutUntilMillis.getOrDefault(node, Long.MIN_VALUE) <= nowMillis)
                .findFirst();
    }

    private void onAnswer(String node, Ask ask, Optional<Answer> answer) {
        boolean issues = answer.isPresent() && answer.get().outcome() != Outcome.NO_ISSUER;
        if (issues) {
            leftOutUntilMillis.remove(node);
        } else {
            leftOutUntilMillis.put(node, time.monotonicMillis() + LEFT_OUT_MILLIS);
        }
        answer.ifPresent(received -> onReport.accept(received.limit()));
        boolean granted = issues && answer.get().outcome() == Outcome.GRANTED;
        pool.onAnswer(ask.limit().worker(), ask.number(), granted);
        if (granted) {
            eventLoop.execute(onPermit);
        }
    }

    /**
     * Forgets the workers that no longer exist.
     *
     * @param existing the workers that exist
     */
    public void retain(Set<WorkerIncarnation> existing) {
        pool.retain(existing);
    }
}
