package io.lagoonseam.entry;

import com.codahale.metrics.MetricRegistry;
import io.lagoonseam.core.audit.AuditTrail;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.membership.StopParticipant;
import io.lagoonseam.core.operation.ShardedOperationJournal;
import io.lagoonseam.core.time.SystemTimeSource;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.entry.caller.CallerRoutes;
import io.lagoonseam.entry.configuration.ActiveConfiguration;
import io.lagoonseam.entry.configuration.ConfigurationFollower;
import io.lagoonseam.entry.configuration.FollowerEnvironment;
import io.lagoonseam.entry.configuration.GenerationPiggyback;
import io.lagoonseam.entry.configuration.InForceReader;
import io.lagoonseam.entry.dispatch.CapacityExchange;
import io.lagoonseam.entry.dispatch.DispatchEnvironment;
import io.lagoonseam.entry.dispatch.Dispatcher;
import io.lagoonseam.entry.dispatch.RouterMetrics;
import io.lagoonseam.entry.dispatch.ServicePolicies;
import io.lagoonseam.entry.limits.LimitLayer;
import io.lagoonseam.entry.operator.AuditRoutes;
import io.lagoonseam.entry.operator.OperatorRoutes;
import io.lagoonseam.entry.peer.PeerLayer;
import io.lagoonseam.entry.platform.NodeJournal;
import io.lagoonseam.entry.platform.PlatformClient;
import io.lagoonseam.entry.platform.UpstreamWatch;
import io.lagoonseam.entry.settings.EntrySettings;
import io.lagoonseam.entry.settings.ListenAddress;
import io.lagoonseam.entry.stop.GracefulStop;
import io.lagoonseam.entry.tls.NodeTls;
import io.lagoonseam.entry.upstream.UpstreamClient;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One entry node: routes requests of callers to upstreams according to the configuration on the platform. */
public final class EntryNode {

    private static final long TICK_MILLIS = 20;
    private static final long LOAD_POLL_MILLIS = 500;
    private static final long CAPACITY_EXCHANGE_MILLIS = 250;
    private static final long VM_POLL_MILLIS = 1_000;
    private static final long SERVER_SHUTDOWN_TIMEOUT_SECONDS = 2;

    private enum State {
        SERVING,
        LEAVING,
        REFUSING
    }

    private final Vertx vertx;
    private final EntrySettings settings;
    private final AuditTrail audit;
    private final EventSink events;
    private final TimeSource time = new SystemTimeSource();
    private final MetricRegistry registry = new MetricRegistry();
    private final InvariantMonitor invariants;
    private final ActiveConfiguration configuration;
    private final PlatformClient platform;
    private final ShardedOperationJournal journal;
    private final ExecutorService decisions;
    private final PeerLayer peers;
    private final Dispatcher dispatcher;
    private final LimitLayer limits;
    private final ConfigurationFollower follower;
    private final List<Long> timers = new ArrayList<>();
    private final List<StopParticipant> stopParticipants = new CopyOnWriteArrayList<>();
    private final NodeTls tls;
    private final UpstreamWatch upstreamWatch;
    private final CapacityExchange capacityExchange;
    private volatile State state = State.SERVING;
    private HttpServer callerServer;
    private HttpServer operatorServer;
    private Future<Void> stopFuture;

    /**
     * Creates a node that is not started.
     *
     * @param vertx the Vert.x instance that it runs on
     * @param settings the node's settings
     * @param events the sink of numbered events
     */
    public EntryNode(Vertx vertx, EntrySettings settings, EventSink events) {
        this(vertx, settings, events, ServicePolicies.standard());
    }

    /**
     * Creates a node with the given policies instead of the standard ones, for example to compare policies.
     *
     * @param vertx the Vert.x instance that it runs on
     * @param settings the node's settings
     * @param sink the sink of numbered events
     * @param policies the policies of each service
     */
    public EntryNode(Vertx vertx, EntrySettings settings, EventSink sink, ServicePolicies policies) {
        this.vertx = vertx;
        this.settings = settings;
        this.audit = new AuditTrail(sink, time);
        this.events = audit;
        this.invariants = new InvariantMonitor(events);
        this.configuration = new ActiveConfiguration(invariants);
        this.platform = new PlatformClient(vertx, settings.platformUrl());
        this.decisions = newDecisionThreads(settings);
        this.peers =
                new PeerLayer(new PeerLayer.Environment(vertx, settings, platform, decisions, time, registry, events));
        this.journal = NodeJournal.create(vertx, platform, peers, configuration, invariants);
        this.dispatcher = new Dispatcher(new DispatchEnvironment(
                decisions,
                time,
                new UpstreamClient(vertx),
                journal,
                new RouterMetrics(registry),
                invariants,
                events,
                policies,
                settings.seed()));
        this.dispatcher.setNodeId(settings.nodeId());
        this.follower = new ConfigurationFollower(followerEnvironment(), configuration, this::configure);
        this.peers.piggybacks().add(new GenerationPiggyback(follower));
        this.tls = new NodeTls(vertx, settings, events);
        this.upstreamWatch = new UpstreamWatch(new UpstreamWatch.Environment(
                platform,
                peers.members(),
                peers.transport(),
                this::upstreamNames,
                dispatcher::markLeaving,
                time,
                events));
        dispatcher.setConnectionListener(upstreamWatch::recordConnectionResult);
        this.capacityExchange = new CapacityExchange(peers.members(), peers.transport(), dispatcher, time, decisions);
        this.limits = new LimitLayer(peers.members(), peers.transport(), decisions, time, events);
        this.dispatcher.setWorkspaceLimiter(limits.limiter());
    }

    private void configure(FileSet fileSet) {
        dispatcher.trail().setGeneration(follower.generation());
        limits.configure(fileSet);
        dispatcher.configure(fileSet);
    }

    private FollowerEnvironment followerEnvironment() {
        return new FollowerEnvironment(
                platform, peers.transport(), peers.members(), this::runLater, decisions, time, events, settings.seed());
    }

    private void runLater(long delayMillis, Runnable task) {
        vertx.setTimer(Math.max(1, delayMillis), timer -> {
            if (!decisions.isShutdown()) {
                task.run();
            }
        });
    }

    /** Creates the decision threads; decisions submitted after the node has ended are dropped, as in a crash. */
    private static ExecutorService newDecisionThreads(EntrySettings settings) {
        AtomicInteger number = new AtomicInteger();
        return new ThreadPoolExecutor(
                settings.workerThreads(),
                settings.workerThreads(),
                0,
                TimeUnit.SECONDS,
                new LinkedBlockingQueue<>(),
                task -> {
                    Thread thread = new Thread(task, settings.nodeId() + "-decision-" + number.incrementAndGet());
                    thread.setDaemon(true);
                    return thread;
                },
                new ThreadPoolExecutor.DiscardPolicy());
    }

    /**
     * Starts the node.
     *
     * @return completes when the node serves callers and operators
     */
    public Future<Void> start() {
        CallerRoutes callers = new CallerRoutes(configuration, dispatcher, time, () -> state != State.REFUSING);
        OperatorRoutes operators =
                new OperatorRoutes(settings, configuration, dispatcher, invariants, registry, this::isReady);
        Router callerRouter = callers.router(vertx, settings.bodyLimitBytes());
        return listen(tls.callerOptions(), request -> route(callerRouter, request), settings.callers())
                .onSuccess(server -> callerServer = server)
                .compose(server -> listen(
                        new HttpServerOptions(), auditRoutes().addTo(operators.router(vertx)), settings.operators()))
                .onSuccess(server -> operatorServer = server)
                .compose(server -> peers.start())
                .onSuccess(server -> startBackgroundTasks())
                .mapEmpty();
    }

    private AuditRoutes auditRoutes() {
        return new AuditRoutes(audit, dispatcher.trail(), peers::allMembers, follower, new InForceReader(platform));
    }

    private Future<HttpServer> listen(
            HttpServerOptions options, Handler<HttpServerRequest> handler, ListenAddress address) {
        return vertx.createHttpServer(options).requestHandler(handler).listen(address.port(), address.host());
    }

    /**
     * Serves a request; during a graceful shutdown, responses carry {@code Connection: close} so that callers
     * reconnect.
     */
    private void route(Router router, HttpServerRequest request) {
        if (state != State.SERVING) {
            request.response().putHeader("Connection", "close");
        }
        router.handle(request);
    }

    private void startBackgroundTasks() {
        follower.start();
        timers.add(limits.start(vertx));
        tls.watch(callerServer, peers::renewCertificates);
        timers.add(vertx.setPeriodic(TICK_MILLIS, timer -> dispatcher.tick()));
        timers.add(vertx.setPeriodic(LOAD_POLL_MILLIS, timer -> dispatcher.pollLoad()));
        timers.add(vertx.setPeriodic(CAPACITY_EXCHANGE_MILLIS, timer -> decisions.execute(capacityExchange::tick)));
        timers.add(vertx.setPeriodic(VM_POLL_MILLIS, timer -> decisions.execute(upstreamWatch::tick)));
        events.record(EventCode.NODE_STARTED, "callers on port " + callerPort() + ", operators on " + operatorPort());
    }

    private Set<String> upstreamNames() {
        return configuration
                .current()
                .map(generation -> generation.fileSet().upstreams().keySet())
                .orElse(Set.of());
    }

    /**
     * Returns the leaving upstreams, which get no new work from this node.
     *
     * @return the names of the upstreams
     */
    public Set<String> leavingUpstreams() {
        return upstreamWatch.leavingUpstreams();
    }

    /**
     * Adds a participant that hands over its responsibilities, such as a journal shard, before the node stops.
     *
     * @param participant the participant
     */
    public void addStopParticipant(StopParticipant participant) {
        stopParticipants.add(participant);
    }

    /**
     * Returns whether the load balancer should send requests to this node.
     *
     * @return true from when the newest configuration known at the start is in force until the node begins to stop
     */
    public boolean isReady() {
        return state == State.SERVING && follower.isCaughtUp();
    }

    /**
     * Returns the TCP port of the callers' interface. The node must have been started.
     *
     * @return the port
     */
    public int callerPort() {
        return callerServer.actualPort();
    }

    /**
     * Returns the TCP port of the operators' interface. The node must have been started.
     *
     * @return the port
     */
    public int operatorPort() {
        return operatorServer.actualPort();
    }

    /**
     * Returns the communication with other nodes.
     *
     * @return the peer layer
     */
    public PeerLayer peers() {
        return peers;
    }

    /**
     * Returns the node's settings.
     *
     * @return the settings
     */
    public EntrySettings settings() {
        return settings;
    }

    /**
     * Returns the node's metrics.
     *
     * @return the registry
     */
    public MetricRegistry metrics() {
        return registry;
    }

    /**
     * Returns the monitor of the node's invariants at run time.
     *
     * @return the monitor
     */
    public InvariantMonitor invariants() {
        return invariants;
    }

    /**
     * Returns the configuration in force at the node.
     *
     * @return the configuration
     */
    public ActiveConfiguration configuration() {
        return configuration;
    }

    /**
     * Stops the node gracefully: readiness fails at once, new requests are refused after the leave notice, and requests
     * in flight finish. Further calls return the same future.
     *
     * @return completes when no request is in flight or the stop deadline has passed, and the node is closed
     */
    public synchronized Future<Void> stop() {
        if (stopFuture == null) {
            state = State.LEAVING;
            GracefulStop stop = new GracefulStop(new GracefulStop.Environment(
                    vertx,
                    settings,
                    dispatcher,
                    peers,
                    stopParticipants,
                    () -> state = State.REFUSING,
                    invariants,
                    time,
                    events));
            stopFuture = stop.run()
                    .compose(nothing -> callerServer.shutdown(SERVER_SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .compose(nothing -> close());
        }
        return stopFuture;
    }

    /**
     * Ends the node without finishing the requests in flight, as a crash would.
     *
     * @return completes when the ports are closed
     */
    public Future<Void> halt() {
        state = State.REFUSING;
        return close();
    }

    private Future<Void> close() {
        follower.stop();
        tls.stop();
        timers.forEach(vertx::cancelTimer);
        return callerServer
                .close()
                .compose(nothing -> operatorServer.close())
                .compose(nothing -> peers.close())
                .onComplete(nothing -> {
                    decisions.shutdown();
                    events.record(EventCode.NODE_STOPPED, settings.nodeId());
                });
    }
}
