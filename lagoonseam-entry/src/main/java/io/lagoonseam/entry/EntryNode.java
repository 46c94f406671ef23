package io.lagoonseam.entry;

import com.codahale.metrics.MetricRegistry;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.membership.Member;
import io.lagoonseam.core.membership.MemberState;
import io.lagoonseam.core.membership.SoleMemberDirectory;
import io.lagoonseam.core.peer.NoopPeerTransport;
import io.lagoonseam.core.platform.VmEntry;
import io.lagoonseam.core.time.SystemTimeSource;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.entry.caller.CallerRoutes;
import io.lagoonseam.entry.configuration.ActiveConfiguration;
import io.lagoonseam.entry.configuration.ConfigurationFollower;
import io.lagoonseam.entry.configuration.FollowerEnvironment;
import io.lagoonseam.entry.dispatch.DispatchEnvironment;
import io.lagoonseam.entry.dispatch.Dispatcher;
import io.lagoonseam.entry.dispatch.RouterMetrics;
import io.lagoonseam.entry.dispatch.ServicePolicies;
import io.lagoonseam.entry.operator.OperatorRoutes;
import io.lagoonseam.entry.peer.PeerLayer;
import io.lagoonseam.entry.platform.PlatformClient;
import io.lagoonseam.entry.platform.SingleWriteOperationJournal;
import io.lagoonseam.entry.settings.EntrySettings;
import io.lagoonseam.entry.settings.ListenAddress;
import io.lagoonseam.entry.upstream.UpstreamClient;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/** One entry node: callers on one side, upstreams and the platform on the other. */
public final class EntryNode {

    private static final long TICK_MILLIS = 20;
    private static final long LOAD_POLL_MILLIS = 500;
    private static final long VM_POLL_MILLIS = 1_000;
    private static final long DRAIN_POLL_MILLIS = 20;

    private enum State {
        SERVING,
        LEAVING,
        REFUSING
    }

    private final Vertx vertx;
    private final EntrySettings settings;
    private final EventSink events;
    private final TimeSource time = new SystemTimeSource();
    private final MetricRegistry registry = new MetricRegistry();
    private final InvariantMonitor invariants;
    private final ActiveConfiguration configuration;
    private final PlatformClient platform;
    private final ExecutorService decisions;
    private final PeerLayer peers;
    private final Dispatcher dispatcher;
    private final ConfigurationFollower follower;
    private final List<Long> timers = new ArrayList<>();
    private volatile State state = State.SERVING;
    private HttpServer callerServer;
    private HttpServer operatorServer;
    private Future<Void> stopping;

    /**
     * Creates a node that is not started.
     *
     * @param vertx the Vert.x instance that it runs on
     * @param settings its settings
     * @param events the sink of numbered events
     */
    public EntryNode(Vertx vertx, EntrySettings settings, EventSink events) {
        this(vertx, settings, events, ServicePolicies.standard());
    }

    /**
     * Creates a node with policies of its own, to compare them.
     *
     * @param vertx the Vert.x instance that it runs on
     * @param settings its settings
     * @param events the sink of numbered events
     * @param policies the policies of each service
     */
    public EntryNode(Vertx vertx, EntrySettings settings, EventSink events, ServicePolicies policies) {
        this.vertx = vertx;
        this.settings = settings;
        this.events = events;
        this.invariants = new InvariantMonitor(events);
        this.configuration = new ActiveConfiguration(invariants);
        this.platform = new PlatformClient(vertx, settings.platformUrl());
        this.decisions = newDecisionThreads(settings);
        this.peers =
                new PeerLayer(new PeerLayer.Environment(vertx, settings, platform, decisions, time, registry, events));
        this.dispatcher = new Dispatcher(new DispatchEnvironment(
                decisions,
                time,
                new UpstreamClient(vertx),
                new SingleWriteOperationJournal(platform),
                new RouterMetrics(registry),
                invariants,
                events,
                policies,
                settings.seed()));
        this.dispatcher.identify(settings.nodeId());
        this.follower = new ConfigurationFollower(followerEnvironment(), configuration, dispatcher::configure);
    }

    private FollowerEnvironment followerEnvironment() {
        Member self = new Member(settings.nodeId(), settings.dataCentre(), "", 0, 0, MemberState.ALIVE);
        return new FollowerEnvironment(
                platform,
                new NoopPeerTransport(),
                new SoleMemberDirectory(self),
                (delayMillis, task) -> vertx.setTimer(Math.max(1, delayMillis), timer -> task.run()),
                decisions,
                time,
                events,
                settings.seed());
    }

    /** Decisions that come after the end of the node are dropped, as a crash would drop them. */
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
     * @return completes when callers and operators are served
     */
    public Future<Void> start() {
        CallerRoutes callers = new CallerRoutes(configuration, dispatcher, time, () -> state != State.REFUSING);
        OperatorRoutes operators =
                new OperatorRoutes(settings, configuration, dispatcher, invariants, registry, this::isReady);
        return listen(callers.router(vertx, settings.bodyLimitBytes()), settings.callers())
                .onSuccess(server -> callerServer = server)
                .compose(server -> listen(operators.router(vertx), settings.operators()))
                .onSuccess(server -> operatorServer = server)
                .compose(server -> peers.start())
                .onSuccess(server -> started())
                .mapEmpty();
    }

    private Future<HttpServer> listen(Router router, ListenAddress address) {
        return vertx.createHttpServer().requestHandler(router).listen(address.port(), address.host());
    }

    private void started() {
        follower.start();
        timers.add(vertx.setPeriodic(TICK_MILLIS, timer -> dispatcher.tick()));
        timers.add(vertx.setPeriodic(LOAD_POLL_MILLIS, timer -> dispatcher.pollLoad()));
        timers.add(vertx.setPeriodic(VM_POLL_MILLIS, timer -> pollVms()));
        events.record(EventCode.NODE_STARTED, "callers on port " + callerPort() + ", operators on " + operatorPort());
    }

    private void pollVms() {
        platform.listVms().thenAccept(this::markLeaving);
    }

    private void markLeaving(List<VmEntry> vms) {
        Set<String> leaving =
                vms.stream().filter(VmEntry::leaving).map(VmEntry::name).collect(Collectors.toSet());
        dispatcher.markLeaving(leaving);
    }

    /**
     * Returns whether the balancer should send requests here.
     *
     * @return true once a configuration is in force and until the node stops
     */
    public boolean isReady() {
        return state == State.SERVING && follower.isCaughtUp();
    }

    /**
     * Returns the port of the callers' interface.
     *
     * @return the port, once started
     */
    public int callerPort() {
        return callerServer.actualPort();
    }

    /**
     * Returns the port of the operators' interface.
     *
     * @return the port, once started
     */
    public int operatorPort() {
        return operatorServer.actualPort();
    }

    /**
     * Returns what talks with other nodes.
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
     * Returns the node's checks at run time.
     *
     * @return the monitor
     */
    public InvariantMonitor invariants() {
        return invariants;
    }

    /**
     * Returns what is in force at the node.
     *
     * @return the configuration
     */
    public ActiveConfiguration configuration() {
        return configuration;
    }

    /**
     * Stops gracefully: readiness fails, new requests are refused after the notice, those in flight finish.
     *
     * @return completes when nothing is in flight, or at the stop deadline
     */
    public synchronized Future<Void> stop() {
        if (stopping == null) {
            state = State.LEAVING;
            events.record(EventCode.NODE_STOPPING, dispatcher.inFlight() + " requests in flight");
            peers.leave();
            Promise<Void> drained = Promise.promise();
            vertx.setTimer(Math.max(1, settings.leaveNoticeMillis()), timer -> {
                state = State.REFUSING;
                drain(drained, time.monotonicMillis() + settings.stopDeadlineMillis());
            });
            stopping = drained.future().compose(nothing -> close());
        }
        return stopping;
    }

    private void drain(Promise<Void> drained, long deadlineMillis) {
        int inFlight = dispatcher.inFlight();
        if (inFlight == 0) {
            drained.complete();
            return;
        }
        if (time.monotonicMillis() >= deadlineMillis) {
            events.record(EventCode.STOP_DEADLINE_PASSED, inFlight + " requests were cut off");
            invariants.check(Invariant.STOP_CUTS_NOTHING, false, inFlight + " requests at the deadline");
            drained.complete();
            return;
        }
        vertx.setTimer(DRAIN_POLL_MILLIS, timer -> drain(drained, deadlineMillis));
    }

    /**
     * Ends the node without finishing what is in flight, as a crash would.
     *
     * @return completes when the ports are closed
     */
    public Future<Void> halt() {
        state = State.REFUSING;
        return close();
    }

    private Future<Void> close() {
        follower.stop();
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
