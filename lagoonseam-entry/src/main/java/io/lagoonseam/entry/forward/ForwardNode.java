package io.lagoonseam.entry.forward;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.forward.StopPolicy;
import io.lagoonseam.core.forward.StoreOutages;
import io.lagoonseam.core.forward.UpstreamDirectory;
import io.lagoonseam.core.placement.HomeRanking;
import io.lagoonseam.core.ratelimit.AnnouncedLimits;
import io.lagoonseam.core.ratelimit.IssuerStanding;
import io.lagoonseam.core.ratelimit.WorkerIncarnation;
import io.lagoonseam.entry.detour.DetourExchange;
import io.lagoonseam.entry.duty.UsageDuty;
import io.lagoonseam.entry.duty.UsagePlatform;
import io.lagoonseam.entry.peer.PeerTransportOptions;
import io.lagoonseam.entry.peer.VertxPeerTransport;
import io.lagoonseam.entry.placement.HomeChannel;
import io.lagoonseam.entry.placement.HomeServer;
import io.lagoonseam.entry.placement.PlacementClient;
import io.lagoonseam.entry.quarantine.QuarantineExchange;
import io.lagoonseam.entry.ratelimit.PermitClient;
import io.lagoonseam.entry.ratelimit.PermitServer;
import io.lagoonseam.entry.resume.StreamOriginExchange;
import io.lagoonseam.entry.settings.ListenAddress;
import io.lagoonseam.entry.store.CollectionFollower;
import io.lagoonseam.entry.store.CollectionStore;
import io.lagoonseam.entry.store.StoreSilenceExchange;
import io.lagoonseam.entry.store.WatchPolicy;
import io.lagoonseam.wire.MessageTypes;
import io.lagoonseam.wire.PlacementMessages;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

/**
 * Runs one node that forwards requests: wires the components, schedules their timers, and stops without cutting off
 * requests in flight.
 */
public final class ForwardNode {

    /**
     * Interval at which queued requests are dispatched or expired, in milliseconds; short relative to the shortest
     * latency objectives.
     */
    private static final long DISPATCH_INTERVAL_MILLIS = 10;

    /** Interval of the state exchange with other nodes, in milliseconds. */
    private static final long EXCHANGE_INTERVAL_MILLIS = 250;

    /** Interval at which idle connections and expired worker records are removed, in milliseconds. */
    private static final long CLEANUP_INTERVAL_MILLIS = 250;

    /**
     * How long the load balancer may still send new connections after this node stops being ready, in milliseconds: two
     * and a half of its health-check intervals.
     */
    private static final long BALANCER_GRACE_MILLIS = 2_500;

    /** Interval at which a stopping node checks whether all requests are served, in milliseconds. */
    private static final long STOP_POLL_MILLIS = 50;

    private final ForwardEnvironment environment;
    private final UpstreamDirectory directory;
    private final ForwardDispatcher dispatcher;
    private final StoreReplica storeReplica;
    private final FrontServer front;
    private final OperationsServer operations;
    private final NodeDirectory nodes;
    private final ForwardStateExchange exchange;
    private final HomeServer homes;
    private final PlacementClient placement;
    private final IssuerStanding issuerStanding;
    private final PermitServer permitServer;
    private final PermitClient permits;
    private final StreamOriginExchange origins;
    private final QuarantineExchange quarantine;
    private final DetourServer detourServer;
    private final DetourExchange detours;
    private final DispatchTicker ticker;
    private final VertxPeerTransport transport;
    private final RegisteredVersions registeredVersions;
    private final StoreSilenceExchange storeSilence;
    private final Optional<UsageDuty> usage;
    private final List<CollectionFollower> followers;
    private final List<Long> timers = new ArrayList<>();
    private final Optional<ListenAddress> metricsAddress;
    private boolean stopping;

    /**
     * Creates a node without starting it.
     *
     * @param environment the shared dependencies
     * @param store the platform's store
     * @param decoder decodes the objects of the store
     * @param metricsAddress the address that serves metrics in addition to the readiness address, empty for none
     * @param usagePlatform takes the reports of usage that the settings ask for; empty if they ask for none
     */
    public ForwardNode(
            ForwardEnvironment environment,
            CollectionStore store,
            RecordDecoder decoder,
            Optional<ListenAddress> metricsAddress,
            Optional<UsagePlatform> usagePlatform) {
        this.environment = environment;
        this.metricsAddress = metricsAddress;
        this.directory = new UpstreamDirectory(
                new StoreOutages(environment.settings().bounds().recordIntervalMillis()));
        Vertx vertx = environment.vertx();
        RequestMetrics metrics = new RequestMetrics(environment.registry());
        HttpClientAgent client = vertx.createHttpClient(new HttpClientOptions()
                .setProtocolVersion(HttpVersion.HTTP_1_1)
                .setKeepAlive(true)
                .setTcpNoDelay(true)
                .setDecompressionSupported(false));
        this.dispatcher = new ForwardDispatcher(environment, client, directory);
        this.registeredVersions = new RegisteredVersions(store, decoder);
        this.storeReplica = new StoreReplica(
                environment,
                decoder,
                directory,
                dispatcher::configure,
                this::onUpstreams,
                dispatcher::onUpstreamsNotFollowed,
                this::onStoreSilence);
        this.front = new FrontServer(environment, dispatcher, storeReplica::configuration, metrics);
        this.operations = new OperationsServer(vertx, this::ready, environment.registry());
        this.nodes = new NodeDirectory(environment, store, dispatcher::nodeCount);
        this.transport = new VertxPeerTransport(new PeerTransportOptions(
                nodes.ownId(),
                environment.settings().peers(),
                Optional.empty(),
                nodes::address,
                task -> vertx.runOnContext(nothing -> task.run()),
                environment.time(),
                environment.registry(),
                environment.events()));
        WorkerAnnouncements announcements = dispatcher.announcements();
        this.issuerStanding = new IssuerStanding(
                nodes.ownId(), HomeRanking::rank, environment.time().monotonicMillis());
        this.permitServer = new PermitServer(
                environment.time(), transport, announcements.limits(), issuerStanding, announcements::applyLimit);
        this.permits = new PermitClient(
                new PermitClient.Environment(
                        environment.time(),
                        transport,
                        nodes.ownId(),
                        task -> vertx.runOnContext(nothing -> task.run())),
                permitServer,
                announcements.limits(),
                issuerStanding,
                announcements::applyLimit);
        dispatcher.permits(permits);
        this.origins = newOriginExchange();
        dispatcher.origins(origins);
        this.quarantine = newQuarantine();
        dispatcher.quarantine(quarantine);
        this.detourServer = new DetourServer(environment, dispatcher, metrics);
        this.detours = newDetourExchange();
        dispatcher.detours(Detours.through(
                detours, client, environment.settings().detours().port(), environment.time()));
        this.homes = new HomeServer(
                new HomeServer.Environment(
                        vertx,
                        environment.time(),
                        environment.random(),
                        environment.events(),
                        transport,
                        nodes.ownId(),
                        environment.settings().firstStart()),
                dispatcher::newWorkers,
                dispatcher::configureHome,
                directory::serving,
                dispatcher::workerPauseMillis);
        this.placement = new PlacementClient(
                new HomeChannel(
                        transport,
                        homes,
                        nodes.ownId(),
                        task -> vertx.runOnContext(nothing -> task.run()),
                        environment.time()),
                environment.events(),
                environment.settings().dataCentre(),
                nodes::capacities);
        homes.ownDecisions(placement::onLateDecisions);
        homes.onLimit(announcements::applyLimit);
        transport.register(MessageTypes.PLACEMENT_DECISIONS, (sender, payload) -> {
            placement.onLateDecisions(sender, PlacementMessages.Decisions.decode(payload));
            return CompletableFuture.completedFuture(new byte[0]);
        });
        dispatcher.placement(placement);
        this.ticker = new DispatchTicker(
                vertx,
                DISPATCH_INTERVAL_MILLIS,
                this::onDispatch,
                () -> dispatcher.hasQueued()
                        || placement.busy()
                        || homes.queuedRequests() > 0
                        || permitServer.waiting() > 0);
        permitServer.onWork(ticker::wake);
        permits.onPermit(this::onDispatch);
        dispatcher.onWork(ticker::wake);
        placement.onWork(ticker::wake);
        homes.onWork(ticker::wake);
        this.exchange = new ForwardStateExchange(environment, transport, dispatcher, nodes, storeReplica);
        this.usage = usagePlatform.map(platform -> newUsageDuty(store, platform));
        usage.ifPresent(dispatcher::usage);
        this.followers = newFollowers(store);
        this.storeSilence = newStoreSilence(store);
        addGauges(metrics);
    }

    private List<CollectionFollower> newFollowers(CollectionStore store) {
        LongSupplier longPollTimeoutMillis =
                () -> WatchPolicy.longPollTimeoutMillis(dispatcher.nodeCount(), environment.random());
        LongSupplier gatherMillis = () -> WatchPolicy.gatherMillis(dispatcher.nodeCount());
        return List.of(
                follower(
                        store,
                        CollectionStore.CONFIGURATION,
                        storeReplica.configurationListener(),
                        new CollectionFollower.Options(longPollTimeoutMillis, gatherMillis, false)),
                follower(
                        store,
                        CollectionStore.UPSTREAMS,
                        storeReplica.upstreamListener(),
                        new CollectionFollower.Options(longPollTimeoutMillis, gatherMillis, true)),
                follower(
                        store,
                        CollectionStore.NODES,
                        nodes,
                        new CollectionFollower.Options(
                                () -> CollectionFollower.LONG_WATCH_MILLIS,
                                () -> WatchPolicy.nodesGatherMillis(dispatcher.nodeCount()),
                                true)));
    }

    private void addGauges(RequestMetrics metrics) {
        metrics.gauge("requests.in_flight", front::inFlight);
        metrics.gauge(
                "answers.buffered_bytes", () -> (int) dispatcher.answerBuffers().bytes());
        metrics.gauge("requests.body_bytes", () -> (int) front.bodyBytes());
        metrics.gauge("nodes.alive", dispatcher::nodeCount);
        metrics.gauge("workers.serving", () -> dispatcher.workers().size());
        metrics.gauge("detours.in_flight", detourServer::inFlight);
        metrics.gauge("services.cut_off", dispatcher.reach()::cutOffServices);
        metrics.gauge("streams.remembered", origins::size);
        metrics.gauge("quarantine.suspects", quarantine::size);
        metrics.gauge("homes.candidates", () -> nodes.capacities().size());
        metrics.gauge("homes.served", homes::homes);
        metrics.gauge("homes.requests_waiting", homes::queuedRequests);
        metrics.gauge("homes.requests_placed", homes::placedRequests);
        metrics.gauge("placement.requests_waiting", placement::waitingRequests);
        metrics.gauge("placement.fallbacks", () -> (int) placement.fallbacks());
        usage.ifPresent(duty -> {
            metrics.gauge("duties.usage_held", () -> duty.holds() ? 1 : 0);
            metrics.gauge("duties.usage_windows_waiting", duty::windowsWaiting);
        });
    }

    private QuarantineExchange newQuarantine() {
        Vertx vertx = environment.vertx();
        return new QuarantineExchange(new QuarantineExchange.Environment(
                environment.time(),
                transport,
                task -> vertx.runOnContext(nothing -> task.run()),
                (delayMillis, task) -> vertx.setTimer(delayMillis, timer -> task.run()),
                environment.random(),
                nodes.ownId(),
                nodes::others,
                new QuarantineListener(environment.events(), dispatcher::onQuarantined)));
    }

    private StoreSilenceExchange newStoreSilence(CollectionStore store) {
        Vertx vertx = environment.vertx();
        return new StoreSilenceExchange(new StoreSilenceExchange.Environment(
                environment.time(),
                (delayMillis, task) -> vertx.setTimer(delayMillis, timer -> task.run()),
                task -> vertx.runOnContext(nothing -> task.run()),
                transport,
                () -> nodes.homesPlace() ? nodes.others() : List.of(),
                environment.random(),
                () -> {
                    store.distrustConnections();
                    followers.forEach(CollectionFollower::doNotTrustWatch);
                }));
    }

    private UsageDuty newUsageDuty(CollectionStore store, UsagePlatform platform) {
        Vertx vertx = environment.vertx();
        NodeSettings.Usage settings = environment.settings().usage().orElseThrow();
        String incarnation = String.join(
                "/",
                nodes.ownId(),
                Long.toHexString(environment.time().wallMillis()),
                Long.toHexString(environment.random().nextLong()));
        return new UsageDuty(new UsageDuty.Environment(
                environment.time(),
                transport,
                task -> vertx.runOnContext(nothing -> task.run()),
                nodes.ownId(),
                environment.settings().nodeName(),
                incarnation,
                nodes::others,
                () -> HomeRanking.rank(UsageDuty.SUBJECT, nodes.issuerCapacities()),
                store,
                platform,
                environment.events(),
                settings.windowMillis(),
                settings.leaseMillis()));
    }

    private void onStoreSilence() {
        environment.events().record(EventCode.STORE_SILENT, "a watch has ended without an answer");
        storeSilence.noticed();
    }

    private DetourExchange newDetourExchange() {
        return new DetourExchange(new DetourExchange.Environment(
                environment.time(),
                transport,
                task -> environment.vertx().runOnContext(nothing -> task.run()),
                environment.random(),
                nodes.ownId(),
                nodes::others,
                service -> detourServer.stopping()
                        ? CompletableFuture.completedFuture(false)
                        : dispatcher.reach().verify(service),
                detourServer::inFlight));
    }

    private StreamOriginExchange newOriginExchange() {
        Vertx vertx = environment.vertx();
        return new StreamOriginExchange(new StreamOriginExchange.Environment(
                environment.time(),
                transport,
                task -> vertx.runOnContext(nothing -> task.run()),
                (delayMillis, task) -> vertx.setTimer(delayMillis, timer -> task.run()),
                nodes::others,
                nodes::listed,
                dispatcher::observedVersions,
                registeredVersions::read));
    }

    private CollectionFollower follower(
            CollectionStore store,
            String collection,
            CollectionFollower.Listener listener,
            CollectionFollower.Options options) {
        Vertx vertx = environment.vertx();
        return new CollectionFollower(
                environment.time(),
                (delayMillis, task) -> vertx.setTimer(delayMillis, timer -> task.run()),
                store,
                collection,
                listener,
                environment.random(),
                options);
    }

    /** Applies changed settings. */
    public void onSettingsChanged() {
        dispatcher.applyBounds();
        nodes.addSeeds();
    }

    private boolean ready() {
        return !stopping
                && front.accepting()
                && storeReplica.configuration().isPresent()
                && storeReplica.upstreamRevision() >= 0;
    }

    /**
     * Starts the node.
     *
     * @return completes when the node listens on its addresses, fails if it cannot listen on one of them
     */
    public Future<Void> start() {
        Vertx vertx = environment.vertx();
        followers.forEach(CollectionFollower::start);
        return front.start()
                .compose(nothing -> detourServer.start())
                .compose(nothing -> operations.listen(environment.settings().readiness()))
                .compose(nothing -> vertx.deployVerticle(transport))
                .compose(nothing -> metricsAddress.isPresent()
                        ? operations.listen(metricsAddress.get()).mapEmpty()
                        : Future.<Void>succeededFuture())
                .onSuccess(nothing -> {
                    timers.add(vertx.setPeriodic(EXCHANGE_INTERVAL_MILLIS, timer -> onExchange()));
                    timers.add(vertx.setPeriodic(CLEANUP_INTERVAL_MILLIS, timer -> onCleanup()));
                    environment
                            .events()
                            .record(
                                    EventCode.NODE_STARTED,
                                    "callers on " + environment.settings().callers());
                })
                .mapEmpty();
    }

    private void onUpstreams() {
        dispatcher.observeVersions();
        dispatcher.refresh();
        homes.refresh();
    }

    private void onDispatch() {
        permitServer.tick();
        homes.tick();
        placement.tick();
        dispatcher.dispatchQueued();
    }

    private void onExchange() {
        issuerStanding.nodes(nodes.issuerCapacities(), environment.time().monotonicMillis());
        permitServer.tick();
        homes.refresh();
        placement.probe();
        ticker.wake();
        nodes.checkNodes();
        exchange.broadcast();
        quarantine.tick();
        dispatcher.reach().tick();
        detours.tick();
        usage.ifPresent(UsageDuty::tick);
        dispatcher.ejectFailing();
        exchange.pullIfUnconfigured();
    }

    private void onCleanup() {
        directory.expire(environment.time().monotonicMillis());
        origins.expire();
        if (storeReplica.upstreamRevision() >= 0) {
            dispatcher.observeVersions();
        }
        dispatcher.refresh();
        forgetLimitsOfGoneWorkers();
        dispatcher.closeExpiredConnections();
        front.closeExpiredConnections();
    }

    private void forgetLimitsOfGoneWorkers() {
        AnnouncedLimits limits = dispatcher.announcements().limits();
        if (limits.isEmpty()) {
            return;
        }
        Set<WorkerIncarnation> workers = dispatcher.incarnations();
        limits.retain(workers, environment.time().monotonicMillis());
        permitServer.retain(workers);
        permits.retain(workers);
    }

    /**
     * Stops the node. It fails its readiness check and deregisters at once, keeps serving while the load balancer may
     * still send new connections, then stops accepting them and closes idle ones, and ends when no connection of a
     * caller is left or the end time of the {@link StopPolicy} has been reached.
     *
     * @return completes when the process may exit; on a second call, never completes
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
        front.beginStop(policy);
        detourServer.beginStop();
        nodes.deregister();
        homes.stop();
        permitServer.stop();
        origins.handOver();
        quarantine.handOver();
        usage.ifPresent(UsageDuty::stop);
        environment.vertx().setTimer(BALANCER_GRACE_MILLIS, timer -> {
            front.stopAccepting();
            environment.vertx().setPeriodic(STOP_POLL_MILLIS, pollTimer -> {
                front.closeQuietConnections();
                boolean deadlinePassed = environment.time().monotonicMillis() >= policy.exitMillis();
                if (front.drained() && detourServer.drained() || deadlinePassed) {
                    environment.vertx().cancelTimer(pollTimer);
                    environment.events().record(EventCode.NODE_STOPPED, front.inFlight() + " requests in flight");
                    ended.tryComplete();
                }
            });
        });
        return ended.future();
    }
}
