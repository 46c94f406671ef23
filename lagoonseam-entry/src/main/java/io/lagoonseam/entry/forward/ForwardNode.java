package io.lagoonseam.entry.forward;

import com.codahale.metrics.MetricRegistry;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.forward.StopPolicy;
import io.lagoonseam.core.forward.UpstreamDirectory;
import io.lagoonseam.entry.peer.PeerTransportOptions;
import io.lagoonseam.entry.peer.VertxPeerTransport;
import io.lagoonseam.entry.settings.ListenAddress;
import io.lagoonseam.entry.store.CollectionFollower;
import io.lagoonseam.entry.store.CollectionStore;
import io.lagoonseam.entry.store.WatchPolicy;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

/** One node that forwards requests: it wires the parts, runs their timers, and stops without cutting anything off. */
public final class ForwardNode {

    /** The pause between looks at the requests that wait, in milliseconds: short against the shortest objectives. */
    private static final long PUMP_MILLIS = 10;

    /** The pause between two rounds of the exchange with other nodes, in milliseconds. */
    private static final long EXCHANGE_MILLIS = 250;

    /** The pause between clean-ups of idle connections and of records, in milliseconds. */
    private static final long SWEEP_MILLIS = 250;

    /** How long the balancer may send new connections after this node is not ready: two of its questions and a half. */
    private static final long BALANCER_MILLIS = 2_500;

    /** The pause between looks at whether a node that stops has served all, in milliseconds. */
    private static final long STOP_LOOK_MILLIS = 50;

    private final ForwardEnvironment environment;
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final ForwardDispatcher dispatcher;
    private final StoreKnowledge knowledge;
    private final FrontServer front;
    private final OperationsServer operations;
    private final NodeDirectory nodes;
    private final PeerExchange exchange;
    private final VertxPeerTransport transport;
    private final List<CollectionFollower> followers;
    private final List<Long> timers = new ArrayList<>();
    private final Optional<ListenAddress> metricsAddress;
    private boolean stopping;

    /**
     * Creates a node that is not started.
     *
     * @param environment what it works with
     * @param store the platform's store
     * @param decoder reads what lies in the store
     * @param metricsAddress where metrics are shown, if anywhere
     */
    public ForwardNode(
            ForwardEnvironment environment,
            CollectionStore store,
            RecordDecoder decoder,
            Optional<ListenAddress> metricsAddress) {
        this.environment = environment;
        this.metricsAddress = metricsAddress;
        Vertx vertx = environment.vertx();
        MetricRegistry registry = environment.registry();
        RequestMetrics metrics = new RequestMetrics(registry);
        this.dispatcher = new ForwardDispatcher(
                environment,
                vertx.createHttpClient(new HttpClientOptions()
                        .setProtocolVersion(HttpVersion.HTTP_1_1)
                        .setKeepAlive(true)
                        .setTcpNoDelay(true)
                        .setDecompressionSupported(false)),
                directory);
        this.knowledge =
                new StoreKnowledge(environment, decoder, directory, dispatcher::configure, dispatcher::refresh);
        this.front = new FrontServer(environment, dispatcher, knowledge::configuration, metrics);
        metrics.gauge("requests.in_flight", front::inFlight);
        metrics.gauge("nodes.alive", dispatcher::nodes);
        metrics.gauge("workers.serving", () -> dispatcher.workers().size());
        this.operations = new OperationsServer(vertx, this::ready, registry);
        this.nodes = new NodeDirectory(environment, store, dispatcher::nodes);
        this.transport = new VertxPeerTransport(new PeerTransportOptions(
                nodes.ownId(),
                environment.settings().peers(),
                Optional.empty(),
                nodes::address,
                task -> vertx.runOnContext(nothing -> task.run()),
                environment.time(),
                registry,
                environment.events()));
        this.exchange = new PeerExchange(environment, transport, dispatcher, nodes, knowledge);
        this.followers = List.of(
                follower(
                        store,
                        CollectionStore.CONFIGURATION,
                        knowledge.configurationListener(),
                        () -> WatchPolicy.waitMillis(dispatcher.nodes())),
                follower(
                        store,
                        CollectionStore.UPSTREAMS,
                        knowledge.upstreamListener(),
                        () -> CollectionFollower.PROMPT_WATCH_MILLIS),
                follower(store, CollectionStore.NODES, nodes, () -> CollectionFollower.PATIENT_WATCH_MILLIS));
    }

    private CollectionFollower follower(
            CollectionStore store, String collection, CollectionFollower.Listener listener, LongSupplier watchMillis) {
        return new CollectionFollower(
                environment.vertx(), store, collection, listener, environment.random(), watchMillis);
    }

    /** Takes over what has changed in the settings. */
    public void onSettings() {
        dispatcher.takeBounds();
        nodes.addSeeds();
    }

    private boolean ready() {
        return !stopping && knowledge.configuration().isPresent() && knowledge.upstreamRevision() >= 0;
    }

    /**
     * Starts the node.
     *
     * @return completes when it listens
     */
    public Future<Void> start() {
        Vertx vertx = environment.vertx();
        followers.forEach(CollectionFollower::start);
        return front.start()
                .compose(nothing -> operations.listen(environment.settings().readiness()))
                .compose(nothing -> vertx.deployVerticle(transport))
                .compose(nothing -> metricsAddress.isPresent()
                        ? operations.listen(metricsAddress.get()).mapEmpty()
                        : Future.<Void>succeededFuture())
                .onSuccess(nothing -> {
                    timers.add(vertx.setPeriodic(PUMP_MILLIS, timer -> dispatcher.pump()));
                    timers.add(vertx.setPeriodic(EXCHANGE_MILLIS, timer -> onExchange()));
                    timers.add(vertx.setPeriodic(SWEEP_MILLIS, timer -> onSweep()));
                    environment
                            .events()
                            .record(
                                    EventCode.NODE_STARTED,
                                    "callers on " + environment.settings().callers());
                })
                .mapEmpty();
    }

    private void onExchange() {
        nodes.tick();
        exchange.tick();
        dispatcher.setFailingAside();
        exchange.askForCopy();
    }

    private void onSweep() {
        directory.expire(environment.time().monotonicMillis());
        dispatcher.refresh();
        dispatcher.sweep();
        front.sweep();
    }

    /**
     * Stops the node: it is not ready at once, goes on serving until the balancer has noticed, and ends when no request
     * is left or the time is almost up.
     *
     * @return completes when the process may end
     */
    public Future<Void> stop() {
        Promise<Void> ended = Promise.promise();
        if (stopping) {
            return ended.future();
        }
        stopping = true;
        environment.events().record(EventCode.NODE_STOPPING, front.inFlight() + " requests in flight");
        StopPolicy policy = new StopPolicy(
                environment.time().monotonicMillis(),
                environment.settings().bounds().stopMillis());
        front.announceStop(policy);
        nodes.leave();
        environment.vertx().setTimer(BALANCER_MILLIS, timer -> {
            front.closeIdleConnections();
            environment.vertx().setPeriodic(STOP_LOOK_MILLIS, look -> {
                boolean late = environment.time().monotonicMillis() >= policy.endMillis();
                if (front.inFlight() == 0 || late) {
                    environment.vertx().cancelTimer(look);
                    environment.events().record(EventCode.NODE_STOPPED, front.inFlight() + " requests in flight");
                    ended.tryComplete();
                }
            });
        });
        return ended.future();
    }
}
