package io.lagoonseam.entry.placement;

import io.lagoonseam.core.audit.DecisionLog;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.forward.ServiceWorkers;
import io.lagoonseam.core.forward.UpstreamRecord;
import io.lagoonseam.core.forward.UpstreamState;
import io.lagoonseam.core.forward.WorkerDemand;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.placement.ExpectedAnswer;
import io.lagoonseam.core.placement.PlacementDecision;
import io.lagoonseam.core.placement.PlacementHome;
import io.lagoonseam.core.placement.PlacementKey;
import io.lagoonseam.core.placement.PlacementRequest;
import io.lagoonseam.core.ratelimit.LimitReport;
import io.lagoonseam.core.time.StallDetector;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.wire.MessageTypes;
import io.lagoonseam.wire.PlacementMessages.Ask;
import io.lagoonseam.wire.PlacementMessages.Batch;
import io.lagoonseam.wire.PlacementMessages.Decided;
import io.lagoonseam.wire.PlacementMessages.Decisions;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Acts as the home of services for the nodes that ask this one. A home begins with the first message for its service.
 * Not thread-safe: all calls and callbacks run on one event loop.
 */
public final class HomeServer {

    /** How long a node may send nothing before its requests are forgotten, in milliseconds. */
    private static final long NODE_TIMEOUT_MILLIS = 1_500;

    /**
     * A pause of this process after which its knowledge is out of date, in milliseconds: some ticks of an idle home.
     */
    private static final long MAX_STALL_MILLIS = 900;

    /** The longest time between two attempts to place queued requests although nothing has changed, in milliseconds. */
    private static final long DISPATCH_INTERVAL_MILLIS = 50;

    private static final long DECISION_TIMEOUT_MILLIS = 300;

    /** The number of waiting requests up to which a pass over the queue is made for each batch with a request. */
    private static final int SHORT_QUEUE = 12;

    /** The least time between two passes over a longer queue for the sake of new requests, in milliseconds. */
    private static final long LONG_QUEUE_INTERVAL_MILLIS = 10;

    /** How long a home that follows another one presumes that the workers cache each prefix, in milliseconds. */
    private static final long ASSUMED_CACHE_MILLIS = 8_000;

    private final Vertx vertx;
    private final TimeSource time;
    private final Random random;
    private final DecisionLog log;
    private final PeerTransport transport;
    private final String ownId;
    private final boolean firstStart;
    private final Supplier<ServiceWorkers> workersFactory;
    private final BiConsumer<String, ServiceWorkers> configurer;
    private final Supplier<List<UpstreamRecord>> serving;
    private final BiFunction<String, Long, Long> pauseMillis;
    private final Map<String, ServedHome> homes = new HashMap<>();
    private BiConsumer<String, Decisions> ownDecisions = (home, decisions) -> {};
    private final StallDetector stallDetector;
    private Consumer<LimitReport> onLimit = limit -> {};
    private Runnable onWork = () -> {};
    private boolean stopped;

    /** The home of one service at this node. */
    private static final class ServedHome {
        private final PlacementHome home;
        private final long assumedUntilMillis;
        private final Map<String, Long> lastHeardMillis = new HashMap<>();
        private long session;
        private long lastDispatchMillis;

        ServedHome(PlacementHome home, long session, long assumedUntilMillis) {
            this.home = home;
            this.session = session;
            this.assumedUntilMillis = assumedUntilMillis;
        }
    }

    /**
     * What a home needs from its node.
     *
     * @param vertx the Vert.x instance that owns the event loop
     * @param time the clocks
     * @param random the source of session numbers
     * @param log the log
     * @param transport the transport between nodes
     * @param ownId the id of this node
     * @param firstStart whether the deployment as a whole starts for the first time, so that no prefix can be cached
     */
    public record Environment(
            Vertx vertx,
            TimeSource time,
            Random random,
            DecisionLog log,
            PeerTransport transport,
            String ownId,
            boolean firstStart) {}

    /**
     * Creates a server without homes.
     *
     * @param environment what it needs from its node
     * @param workersFactory creates the empty set of workers of a service
     * @param configurer applies the configuration in force to the set of workers of a service
     * @param serving returns the records of all workers that accept new requests
     * @param pauseMillis returns the remaining pause of a worker by its id at a time, in milliseconds
     */
    public HomeServer(
            Environment environment,
            Supplier<ServiceWorkers> workersFactory,
            BiConsumer<String, ServiceWorkers> configurer,
            Supplier<List<UpstreamRecord>> serving,
            BiFunction<String, Long, Long> pauseMillis) {
        this.vertx = environment.vertx();
        this.time = environment.time();
        this.random = environment.random();
        this.log = environment.log();
        this.transport = environment.transport();
        this.ownId = environment.ownId();
        this.firstStart = environment.firstStart();
        this.workersFactory = workersFactory;
        this.configurer = configurer;
        this.serving = serving;
        this.pauseMillis = pauseMillis;
        this.stallDetector = new StallDetector(environment.time(), MAX_STALL_MILLIS);
        transport.register(
                MessageTypes.PLACEMENT,
                (sender, payload) -> CompletableFuture.completedFuture(
                        handle(sender, Batch.decode(payload)).encode()));
    }

    /**
     * Sets the receiver of late decisions about requests of this node itself.
     *
     * @param value receives the id of the home, which is this node, and the decisions
     */
    public void ownDecisions(BiConsumer<String, Decisions> value) {
        this.ownDecisions = value;
    }

    /**
     * Sets what to call when requests wait.
     *
     * @param value causes calls of {@link #tick} as long as {@link #queuedRequests} is not 0
     */
    public void onWork(Runnable value) {
        this.onWork = value;
    }

    /**
     * Sets the receiver of the rate limits of workers that nodes report.
     *
     * @param value applies a report
     */
    public void onLimit(Consumer<LimitReport> value) {
        this.onLimit = value;
    }

    /**
     * Handles a batch of a node.
     *
     * @param sender the id of the node
     * @param batch the batch
     * @return the decisions about the requests asked for
     */
    public Decisions handle(String sender, Batch batch) {
        if (stopped) {
            return new Decisions(batch.service(), 0, List.of());
        }
        checkStall();
        long nowMillis = time.monotonicMillis();
        ServedHome served = homes.computeIfAbsent(batch.service(), service -> begin(service, batch, nowMillis));
        served.lastHeardMillis.put(sender, nowMillis);
        PlacementHome home = served.home;
        batch.limits().forEach(onLimit);
        applyReports(home, sender, batch, nowMillis);
        if (!batch.asks().isEmpty() && home.dispatchDue() && mayDispatch(served, nowMillis)) {
            dispatch(batch.service(), served, nowMillis);
        }
        List<Decided> decisions = new ArrayList<>();
        for (Ask ask : batch.asks()) {
            WorkerDemand demand = new WorkerDemand(
                    ask.prompt(),
                    ask.lane(),
                    ask.objectiveMillis(),
                    nowMillis + ask.objectiveLeftMillis(),
                    batch.dataCentre(),
                    ask.priority(),
                    true,
                    Set.copyOf(ask.triedWorkers()),
                    ask.softwareVersion());
            PlacementRequest request = new PlacementRequest(
                    new PlacementKey(sender, ask.number()),
                    ask.priority(),
                    demand,
                    nowMillis + ask.waitMillis(),
                    new ExpectedAnswer(ask.answerTokens(), nowMillis + ask.leftMillis()));
            decisions.add(new Decided(ask.number(), home.submit(request, nowMillis)));
        }
        if (home.queuedRequests() > 0) {
            onWork.run();
        }
        return new Decisions(batch.service(), served.session, decisions);
    }

    /** Returns whether a pass over the queue is short, or the last one long enough ago. */
    private static boolean mayDispatch(ServedHome served, long nowMillis) {
        return served.home.queuedRequests() <= SHORT_QUEUE
                || nowMillis - served.lastDispatchMillis >= LONG_QUEUE_INTERVAL_MILLIS;
    }

    private ServedHome begin(String service, Batch batch, long nowMillis) {
        log.record(
                EventCode.HOME_BEGUN,
                service + (batch.servedBefore() ? " follows another home" : " is the first home"));
        boolean mayBeCached = batch.servedBefore() || !firstStart;
        long assumedUntilMillis = mayBeCached ? nowMillis + ASSUMED_CACHE_MILLIS : Long.MIN_VALUE;
        ServedHome served = new ServedHome(new PlacementHome(workersFactory.get()), newSession(), assumedUntilMillis);
        refresh(service, served);
        return served;
    }

    private long newSession() {
        return 1 + (random.nextLong() >>> 1);
    }

    private static void applyReports(PlacementHome home, String sender, Batch batch, long nowMillis) {
        if (batch.complete()) {
            Set<Long> numbers = new HashSet<>();
            batch.placed().forEach(placed -> numbers.add(placed.number()));
            home.retain(sender, numbers);
        }
        batch.placed()
                .forEach(placed -> home.recordPlaced(
                        new PlacementKey(sender, placed.number()),
                        placed.workerId(),
                        placed.prefixHash(),
                        placed.promptTokens(),
                        placed.unreadTokens(),
                        nowMillis));
        batch.firstEvents()
                .forEach(event -> home.recordFirstEvent(
                        new PlacementKey(sender, event.number()), event.afterMillis(), nowMillis));
        batch.loads().forEach(load -> home.recordLoad(load.workerId(), load.load(), nowMillis));
        batch.outcomes()
                .forEach(outcome -> home.recordOutcome(outcome.workerId(), sender, outcome.outcome(), nowMillis));
        batch.ended().forEach(number -> home.recordEnd(new PlacementKey(sender, number), nowMillis));
    }

    /** Dispatches queued requests where that is due; called every 10 ms while requests wait, else every 250 ms. */
    public void tick() {
        checkStall();
        long nowMillis = time.monotonicMillis();
        homes.forEach((service, served) -> {
            boolean waiting = served.home.queuedRequests() > 0;
            if (waiting
                    && (served.home.dispatchDue()
                            || nowMillis - served.lastDispatchMillis >= DISPATCH_INTERVAL_MILLIS)) {
                dispatch(service, served, nowMillis);
            }
        });
    }

    /** Follows the workers and forgets nodes that no longer respond; called several times a second. */
    public void refresh() {
        homes.forEach(this::refresh);
        long nowMillis = time.monotonicMillis();
        homes.values().forEach(served -> {
            served.home.workers().ejectFailing(nowMillis);
            served.lastHeardMillis.entrySet().removeIf(entry -> {
                boolean silent = nowMillis - entry.getValue() > NODE_TIMEOUT_MILLIS;
                if (silent) {
                    served.home.dropNode(entry.getKey());
                }
                return silent;
            });
        });
    }

    private void refresh(String service, ServedHome served) {
        long nowMillis = time.monotonicMillis();
        ServiceWorkers set = served.home.workers();
        configurer.accept(service, set);
        Map<String, UpstreamState> workers = set.workers();
        Set<String> present = new HashSet<>();
        boolean changed = false;
        for (UpstreamRecord record : serving.get()) {
            if (!record.service().equals(service)) {
                continue;
            }
            present.add(record.id());
            UpstreamState known = workers.get(record.id());
            if (known != null && known.record().sameIncarnation(record)) {
                known.record(record);
            } else {
                UpstreamState state = set.newState(record);
                state.cachedSegments().presumeAllCached(served.assumedUntilMillis);
                workers.put(record.id(), state);
                changed = true;
            }
            long pause = pauseMillis.apply(record.id(), nowMillis);
            if (pause > 0) {
                workers.get(record.id()).pauseUntil(nowMillis + pause);
            }
        }
        changed |= workers.keySet().retainAll(present);
        if (changed) {
            served.home.workersChanged();
        } else {
            served.home.assignLanes();
        }
    }

    private void dispatch(String service, ServedHome served, long nowMillis) {
        served.lastDispatchMillis = nowMillis;
        Map<String, List<Decided>> byNode = new HashMap<>();
        for (PlacementHome.LateDecision late : served.home.dispatch(nowMillis)) {
            byNode.computeIfAbsent(late.key().node(), node -> new ArrayList<>())
                    .add(new Decided(late.key().number(), late.decision()));
        }
        byNode.forEach((node, decided) -> send(node, new Decisions(service, served.session, decided), served));
    }

    private void send(String node, Decisions decisions, ServedHome served) {
        if (node.equals(ownId)) {
            vertx.runOnContext(nothing -> ownDecisions.accept(ownId, decisions));
            return;
        }
        transport
                .request(node, MessageTypes.PLACEMENT_DECISIONS, decisions.encode(), DECISION_TIMEOUT_MILLIS)
                .thenAccept(reply -> {
                    if (reply instanceof PeerReply.NotSent) {
                        vertx.runOnContext(nothing -> release(node, decisions, served));
                    }
                });
    }

    private static void release(String node, Decisions decisions, ServedHome served) {
        for (Decided decided : decisions.decisions()) {
            if (decided.decision() instanceof PlacementDecision.Granted) {
                served.home.release(new PlacementKey(node, decided.number()));
            }
        }
    }

    /** Starts anew if this process has not run for a while: the nodes have asked another home meanwhile. */
    private void checkStall() {
        if (stallDetector.check() && !homes.isEmpty()) {
            log.record(EventCode.HOME_STALLED, String.join(" ", homes.keySet()));
            homes.values().forEach(served -> {
                served.session = newSession();
                Set.copyOf(served.lastHeardMillis.keySet()).forEach(served.home::dropNode);
                served.lastHeardMillis.clear();
            });
        }
    }

    /** Ends all homes: nodes that ask are told to ask another one. */
    public void stop() {
        stopped = true;
        homes.clear();
    }

    /** Returns the number of services that this node is a home of. */
    public int homes() {
        return homes.size();
    }

    /** Returns the number of requests that wait at the homes of this node. */
    public int queuedRequests() {
        return homes.values().stream()
                .mapToInt(served -> served.home.queuedRequests())
                .sum();
    }

    /** Returns the number of requests in flight that the homes of this node know. */
    public int placedRequests() {
        return homes.values().stream()
                .mapToInt(served -> served.home.placedRequests())
                .sum();
    }
}
