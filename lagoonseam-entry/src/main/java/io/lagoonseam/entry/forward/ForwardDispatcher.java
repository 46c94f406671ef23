package io.lagoonseam.entry.forward;

import io.lagoonseam.core.audit.DecisionLog;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.forward.AnswerBuffers;
import io.lagoonseam.core.forward.ForwardService;
import io.lagoonseam.core.forward.LatencyLanes;
import io.lagoonseam.core.forward.LeastLoadedChooser;
import io.lagoonseam.core.forward.OutcomeCount;
import io.lagoonseam.core.forward.OutlierDetector;
import io.lagoonseam.core.forward.PrefixChooser;
import io.lagoonseam.core.forward.RequestQueue;
import io.lagoonseam.core.forward.RoutingConfiguration;
import io.lagoonseam.core.forward.ServiceRetryBudget;
import io.lagoonseam.core.forward.ServiceWorkers;
import io.lagoonseam.core.forward.UpstreamChooser;
import io.lagoonseam.core.forward.UpstreamDirectory;
import io.lagoonseam.core.forward.UpstreamRecord;
import io.lagoonseam.core.forward.UpstreamState;
import io.lagoonseam.core.forward.WorkerDemand;
import io.lagoonseam.core.hash.Rendezvous;
import io.lagoonseam.core.placement.PlacementDecision;
import io.lagoonseam.core.quarantine.Quarantine;
import io.lagoonseam.core.ratelimit.Permit;
import io.lagoonseam.core.ratelimit.PermitSource;
import io.lagoonseam.core.ratelimit.WorkerIncarnation;
import io.lagoonseam.core.resume.RouteHistory;
import io.lagoonseam.core.resume.ServiceWindow;
import io.lagoonseam.core.resume.StreamOriginSource;
import io.lagoonseam.core.resume.VersionHistory;
import io.lagoonseam.core.resume.VersionHistory.Versions;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.entry.duty.UsageMeter;
import io.lagoonseam.entry.placement.Placement;
import io.lagoonseam.entry.placement.PlacementClient;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Assigns requests to workers and keeps the queue of each service up to date with the directory and the configuration.
 */
final class ForwardDispatcher {

    /**
     * Share of a worker's connection limit that all nodes together may use; the rest is a reserve, since each node
     * learns of a change in the number of nodes only after a delay.
     */
    private static final double USABLE_CONNECTION_SHARE = 0.9;

    /**
     * How long workers that a node finds while it knows no other worker are presumed to cache every prompt segment, in
     * milliseconds: until requests and peers have shown which segments they cache. Not presumed if the whole deployment
     * starts for the first time.
     */
    private static final long ASSUMED_CACHE_MILLIS = 8_000;

    /**
     * How long no worker may have been heard until this node no longer trusts idle connections to workers, in
     * milliseconds: what is sent on one may be lost in silence.
     */
    private static final long IDLE_TRUSTED_MILLIS = 1_000;

    /** The share of the memory of a node, and of its heap, that answers may occupy until they are forwarded. */
    private static final double ANSWER_MEMORY_SHARE = 0.05;

    private static final double ANSWER_HEAP_SHARE = 0.15;

    /** The largest answer, or event of a stream, that a node holds until it is forwarded, in bytes. */
    private static final long MAX_ANSWER_BYTES = 8 << 20;

    private final ForwardEnvironment environment;
    private final AnswerBuffers<ForwardedRequest> answerBuffers;
    private final HttpClientAgent client;
    private final TimeSource time;
    private final DecisionLog log;
    private final UpstreamDirectory directory;
    private final Map<String, ServiceQueue> queues = new HashMap<>();
    private final Map<String, WorkerConnections> connections = new HashMap<>();
    private final UpstreamChooser engineChooser = new PrefixChooser();
    private final UpstreamChooser plainChooser;
    private final Map<String, List<Long>> newlyCachedSegments = new HashMap<>();
    private final WorkerAnnouncements announcements;
    private final CrashCheck crashCheck;
    private final WorkerReach reach;
    private Detours detours = Detours.NONE;
    private PermitSource permits = PermitSource.UNLIMITED;
    private final VersionHistory versionHistory = new VersionHistory();
    private final RouteHistory routeHistory = new RouteHistory();
    private StreamOriginSource origins = StreamOriginSource.NONE;
    private Quarantine quarantine = Quarantine.NONE;
    private UsageMeter usage = UsageMeter.NONE;
    private final Set<ForwardedRequest> sent = new LinkedHashSet<>();
    private PlacementClient placement;
    private Runnable onWork = () -> {};
    private RoutingConfiguration configuration;
    private int nodeCount = 1;

    ForwardDispatcher(ForwardEnvironment environment, HttpClientAgent client, UpstreamDirectory directory) {
        this.environment = environment;
        this.client = client;
        this.time = environment.time();
        this.log = environment.events();
        this.directory = directory;
        this.answerBuffers = new AnswerBuffers<>(
                environment.settings().resources().boundBytes(ANSWER_MEMORY_SHARE, ANSWER_HEAP_SHARE),
                MAX_ANSWER_BYTES);
        this.reach = new WorkerReach(environment, this::servingWorkers);
        reach.onCutOff(this::onCutOff);
        this.crashCheck = new CrashCheck(
                environment,
                directory,
                reach,
                service -> detours.find(service, Set.of()).thenApply(Optional::isPresent));
        this.announcements = new WorkerAnnouncements(environment, directory, this::refresh);
        this.plainChooser =
                new LeastLoadedChooser(Rendezvous.hash(environment.settings().nodeName()));
    }

    /**
     * Sets what to call when a request has been queued at this node.
     *
     * @param value causes calls of {@link #dispatchQueued} as long as {@link #hasQueued} returns true
     */
    void onWork(Runnable value) {
        this.onWork = value;
    }

    /** Returns whether requests are queued at this node. */
    boolean hasQueued() {
        return queues.values().stream().anyMatch(queue -> queue.queuedRequests().size() > 0);
    }

    /** Returns what bounds the memory that answers occupy. */
    AnswerBuffers<ForwardedRequest> answerBuffers() {
        return answerBuffers;
    }

    /** Sets the client that asks homes for workers. */
    void placement(PlacementClient value) {
        this.placement = value;
        announcements.onLimitChange(value::reportLimit);
    }

    /** Sets what provides permits for workers with a rate limit; called before any worker is known. */
    void permits(PermitSource value) {
        this.permits = value;
    }

    /** Records the software versions of the known workers; called several times a second once they are known. */
    void observeVersions() {
        versionHistory.observe(directory.known(), time.monotonicMillis());
    }

    /** Records that the workers' registrations were not followed for some time, in milliseconds, until now. */
    void onUpstreamsNotFollowed(long forMillis) {
        versionHistory.notFollowed(forMillis, time.monotonicMillis());
    }

    /** Returns the software versions that a service has had, complete if its route has led nowhere else meanwhile. */
    Versions observedVersions(ServiceWindow window) {
        long nowMillis = time.monotonicMillis();
        Versions seen = versionHistory.versions(window.service(), window.windowMillis(), nowMillis);
        return new Versions(seen.complete() && routeHistory.ledOnlyTo(window, nowMillis), seen.versions());
    }

    /** Sets what tells which software versions began streams. */
    void origins(StreamOriginSource value) {
        this.origins = value;
    }

    StreamOriginSource origins() {
        return origins;
    }

    /** Sets what counts the requests that workers begin to run. */
    void usage(UsageMeter value) {
        this.usage = value;
    }

    UsageMeter usage() {
        return usage;
    }

    /** Sets what tells which requests are not to be sent, since workers crash under them. */
    void quarantine(Quarantine value) {
        this.quarantine = value;
    }

    /** Creates what decides whether the quarantine lets a request through. */
    QuarantineGate newGate(AdmittedRequest admitted, HttpServerRequest request, RequestBody body) {
        return new QuarantineGate(quarantine, crashCheck, time, admitted, request, body);
    }

    /** Returns the requests that are at a worker, or about to be sent to one. */
    Set<ForwardedRequest> sent() {
        return sent;
    }

    /** Takes the requests that have come into quarantine from workers that have not begun to answer them. */
    void onQuarantined() {
        List.copyOf(sent).forEach(ForwardedRequest::onQuarantined);
    }

    /**
     * Returns whether what a worker sends comes from the software version that it had when the request was sent: not if
     * it has started again under its id since.
     */
    boolean stillHasVersion(UpstreamState worker, String softwareVersion) {
        boolean startedAgain =
                worker(worker.record().id()).filter(now -> !now.equals(worker)).isPresent();
        return !startedAgain && worker.record().softwareVersion().equals(softwareVersion);
    }

    /** Returns whether a stream of a service may go on at another worker of the software version that began it. */
    boolean mayGoOnElsewhere(String service, String softwareVersion, UpstreamState worker) {
        return queue(service).workers().mayGoOnElsewhere(softwareVersion, worker);
    }

    /** Applies the configuration in force to the workers of a service that this node places requests on as a home. */
    void configureHome(String service, ServiceWorkers workers) {
        if (configuration != null) {
            configuration.service(service).ifPresent(found -> {
                workers.modelEngine(found.modelEngine());
                workers.kvCapacityTokens(found.kvCapacityTokens());
            });
        }
    }

    /** Creates a set of workers that is empty. */
    ServiceWorkers newWorkers() {
        return new ServiceWorkers(engineChooser, plainChooser, permits);
    }

    /** Applies a configuration. */
    void configure(RoutingConfiguration value) {
        this.configuration = value;
        routeHistory.observe(value.routes().all(), time.monotonicMillis());
        configureQueues();
        refresh();
    }

    /** Returns the rank of a request by its priority and the name of its route, in the configuration in force. */
    int rank(int priority, String route) {
        return configuration == null ? priority : configuration.ranks().rank(priority, route);
    }

    /** Applies the retry budget limits of the settings in force to all services. */
    void applyBounds() {
        NodeSettings.Bounds bounds = environment.settings().bounds();
        queues.values()
                .forEach(queue -> queue.retryBudget()
                        .setLimits(bounds.retryRatio(), bounds.retryWindowMillis(), bounds.retrySlack()));
    }

    /** Sets the number of nodes that share the workers, including this one. */
    void nodeCount(int value) {
        if (nodeCount != value) {
            nodeCount = value;
            configureQueues();
        }
    }

    int nodeCount() {
        return nodeCount;
    }

    private void configureQueues() {
        queues.forEach(this::configure);
    }

    private void configure(String name, ServiceQueue queue) {
        Optional<ForwardService> service = configuration == null ? Optional.empty() : configuration.service(name);
        service.ifPresent(found -> {
            ServiceWorkers workers = queue.workers();
            workers.modelEngine(found.modelEngine());
            // If each broadcast reaches all nodes, their in-flight counts arrive in time, and unread prompt tokens
            // predict load better than the KV-cache memory in use. A capacity of 0 disables the memory check.
            boolean countsArrive = nodeCount <= ForwardStateExchange.FAN_OUT + 1;
            workers.kvCapacityTokens(countsArrive ? 0 : found.kvCapacityTokens());
            workers.connectionsPerWorker(
                    Math.max(1, (int) (USABLE_CONNECTION_SHARE * found.maxConnections() / Math.max(1, nodeCount))));
        });
    }

    private ServiceQueue queue(String service) {
        return queues.computeIfAbsent(service, name -> {
            NodeSettings.Bounds bounds = environment.settings().bounds();
            ServiceQueue queue = new ServiceQueue(
                    newWorkers(),
                    new RequestQueue<>(),
                    new ServiceRetryBudget(bounds.retryRatio(), bounds.retryWindowMillis(), bounds.retrySlack()));
            configure(name, queue);
            return queue;
        });
    }

    /**
     * Synchronizes the queues with the directory: adds new workers, removes those that are no longer serving, and
     * dispatches queued requests.
     */
    void refresh() {
        Set<String> serving = new HashSet<>();
        boolean presumeCached = connections.isEmpty() && !environment.settings().firstStart();
        long assumedUntilMillis = presumeCached ? time.monotonicMillis() + ASSUMED_CACHE_MILLIS : Long.MIN_VALUE;
        for (UpstreamRecord record : directory.serving()) {
            serving.add(record.id());
            addOrUpdate(record, assumedUntilMillis);
        }
        for (ServiceQueue queue : queues.values()) {
            queue.workers().workers().keySet().removeIf(id -> {
                boolean gone = !serving.contains(id);
                if (gone) {
                    removeWorker(id);
                }
                return gone;
            });
            LatencyLanes.assignWorkers(queue.workers().workers().values());
        }
        dispatchQueued();
    }

    /** Returns the lifetimes of all serving workers. */
    Set<WorkerIncarnation> incarnations() {
        return workers().stream().map(UpstreamState::incarnation).collect(Collectors.toSet());
    }

    private void addOrUpdate(UpstreamRecord record, long assumedUntilMillis) {
        ServiceWorkers service = queue(record.service()).workers();
        Map<String, UpstreamState> workers = service.workers();
        UpstreamState known = workers.get(record.id());
        if (known != null && known.record().sameIncarnation(record)) {
            known.record(record);
            return;
        }
        if (known != null) {
            removeWorker(record.id());
        }
        log.recordDecision(
                EventCode.UPSTREAM_SEEN,
                "",
                "worker",
                record.id(),
                "service",
                record.service(),
                "version",
                record.softwareVersion(),
                "data_centre",
                record.dataCentre(),
                "revision",
                record.revision());
        UpstreamState state = service.newState(record);
        state.cachedSegments().presumeAllCached(assumedUntilMillis);
        workers.put(record.id(), state);
        connections.put(
                record.id(),
                new WorkerConnections(
                        client, record.host(), record.port(), time, () -> reach.sawWorkerWithin(IDLE_TRUSTED_MILLIS)));
    }

    /** Returns what applies the announcements of workers and of peers about them. */
    WorkerAnnouncements announcements() {
        return announcements;
    }

    /** Returns the remaining pause of a worker at a time, in milliseconds; 0 if it is unknown. */
    long workerPauseMillis(String id, long nowMillis) {
        return worker(id).map(found -> found.pauseMillis(nowMillis)).orElse(0L);
    }

    /** Returns the time until a worker of a service takes new requests again, in milliseconds; 0 if one does. */
    long pauseMillis(String service) {
        return queue(service).workers().pauseMillis(time.monotonicMillis());
    }

    private void removeWorker(String id) {
        log.recordDecision(EventCode.UPSTREAM_LEAVING, "", "worker", id);
        WorkerConnections gone = connections.remove(id);
        if (gone != null) {
            gone.closeIdle();
        }
    }

    /** Returns the connections to a serving worker, empty if the worker is unknown or leaving. */
    Optional<WorkerConnections> connections(String workerId) {
        return Optional.ofNullable(connections.get(workerId));
    }

    /** Counts a caller's request for the retry budget of a service. */
    void countRequest(String service) {
        queue(service).retryBudget().recordRequest(time.monotonicMillis());
    }

    /** Takes back that a request has been counted: another node counts it. */
    void uncountRequest(String service) {
        queue(service).retryBudget().withdrawRequest();
    }

    /**
     * Has the home of the service place a request or, if there is none, places it by this node's own decision. The
     * request is queued until it can be placed or the queue deadline passes.
     *
     * @param request the request
     * @param queueDeadlineMillis the time at which the request expires in the queue, on the monotonic clock, in
     *     milliseconds
     */
    void submit(ForwardedRequest request, long queueDeadlineMillis) {
        long waitMillis = queueDeadlineMillis - time.monotonicMillis();
        if (placement == null || !placement.place(request, waitMillis)) {
            submitLocally(request, queueDeadlineMillis);
        }
    }

    /** Places or queues a request by this node's own decision; the parameters are those of {@link #submit}. */
    void submitLocally(ForwardedRequest request, long queueDeadlineMillis) {
        ServiceQueue queue = queue(request.service());
        queue.queuedRequests().add(request, request.priority(), queueDeadlineMillis);
        if (!queue.workers().workers().isEmpty()) {
            queue.queuedRequests().dispatch(queued -> dispatch(queue, queued));
        }
        if (request.queued()) {
            onWork.run();
            request.onQueued();
        }
    }

    private boolean dispatch(ServiceQueue queue, ForwardedRequest request) {
        long nowMillis = time.monotonicMillis();
        Optional<UpstreamChooser.Choice> choice = queue.workers().choose(request.ownDemand(), nowMillis);
        choice.ifPresent(found -> {
            Permit permit = queue.workers().takePermit(found.worker());
            queue.workers().observePrompt(request.lane(), request.prompt().tokens(), found.unreadTokens());
            request.send(
                    found,
                    DecidedBy.NODE,
                    found.worker().pendingTokens(nowMillis),
                    permit,
                    placement == null
                            ? Placement.NONE
                            : placement.recordOwnDecision(
                                    request.service(),
                                    found.worker().record().id(),
                                    request.prompt().shape(),
                                    found.unreadTokens()));
        });
        return choice.isPresent();
    }

    /**
     * Returns the choice that a home has made, in terms of this node's view of the workers; empty if this node does not
     * know the worker, or knows that it is leaving or paused, that it has a rate limit that the home does not know, or
     * that it does not meet the demand.
     */
    Optional<UpstreamChooser.Choice> choice(PlacementDecision.Granted granted, WorkerDemand demand) {
        return worker(granted.workerId())
                .filter(worker -> demand.allows(worker.record()))
                .filter(worker -> worker.pauseMillis(time.monotonicMillis()) == 0)
                .filter(worker -> granted.permitted() || !limited(worker))
                .map(worker -> new UpstreamChooser.Choice(
                        worker, granted.unreadTokens(), worker(granted.copyFromId()), granted.reason()));
    }

    private boolean limited(UpstreamState worker) {
        return announcements.limits().perSecond(worker.incarnation()).isPresent();
    }

    /**
     * Returns the expected time until a request that waits can be sent, if all workers of its service limit the rate of
     * their requests, in milliseconds; 0 otherwise.
     */
    long limitBacklogMillis(String service) {
        ServiceQueue queue = queue(service);
        long requestsAhead = (long) nodeCount * (1 + queue.queuedRequests().size()) - 1;
        return queue.workers().limitBacklogMillis(requestsAhead, time.monotonicMillis());
    }

    /**
     * Records that a worker has cached a prefix segment, to be reported to other nodes.
     *
     * @param workerId the id of the worker
     * @param prefixHash the prefix hash of a prompt
     */
    void recordCachedSegment(String workerId, long prefixHash) {
        newlyCachedSegments.computeIfAbsent(workerId, id -> new ArrayList<>()).add(prefixHash);
    }

    /**
     * Returns the hashes of the prefix segments that workers have cached for this node's requests since the last
     * report, by worker id.
     */
    Map<String, List<Long>> newlyCachedSegments() {
        return Map.copyOf(newlyCachedSegments);
    }

    /** Clears the recorded segments after they have been reported. */
    void clearNewlyCachedSegments() {
        newlyCachedSegments.clear();
    }

    /** Records the outcome of an attempt at a worker. */
    void observe(UpstreamState worker, OutlierDetector.Outcome outcome) {
        queue(worker.record().service()).workers().observe(worker, outcome, time.monotonicMillis());
    }

    /**
     * Ejects the workers whose failure rate, by the outcomes of this node and those reported by peers, is above that of
     * the other workers of their service.
     */
    void ejectFailing() {
        long nowMillis = time.monotonicMillis();
        queues.forEach((service, queue) -> queue.workers()
                .ejectFailing(nowMillis)
                .forEach(worker -> {
                    OutcomeCount counted = worker.outcomes(nowMillis);
                    log.recordDecision(
                            EventCode.UPSTREAM_SET_ASIDE,
                            "",
                            "worker",
                            worker.record().id(),
                            "service",
                            service,
                            "outcome",
                            "failing at all nodes",
                            "outcomes",
                            counted.outcomes(),
                            "failures",
                            counted.failures());
                }));
    }

    /**
     * Takes a retry from the retry budget of a service.
     *
     * @return whether the retry may be sent
     */
    boolean tryTakeRetry(String service) {
        return queue(service).retryBudget().tryAcquire(nodeCount, time.monotonicMillis());
    }

    /** Removes a queued request. */
    void withdraw(ForwardedRequest request) {
        if (placement != null) {
            placement.withdraw(request);
        }
        queue(request.service()).queuedRequests().remove(request);
    }

    /** Dispatches queued requests and expires those that have waited too long. */
    void dispatchQueued() {
        long nowMillis = time.monotonicMillis();
        for (ServiceQueue queue : List.copyOf(queues.values())) {
            if (queue.queuedRequests().size() == 0) {
                continue;
            }
            queue.queuedRequests().dispatch(request -> dispatch(queue, request));
            queue.queuedRequests().expire(nowMillis).forEach(ForwardedRequest::onQueueTimeout);
        }
    }

    /** Closes idle connections that will not be reused. */
    void closeExpiredConnections() {
        connections.values().forEach(WorkerConnections::closeExpiredConnections);
    }

    /** Returns the state of a serving worker, which may be ejected; empty if the worker is unknown or leaving. */
    Optional<UpstreamState> worker(String id) {
        for (ServiceQueue queue : queues.values()) {
            UpstreamState state = queue.workers().workers().get(id);
            if (state != null) {
                return Optional.of(state);
            }
        }
        return Optional.empty();
    }

    /** Sets what finds nodes through which requests are sent while this one is cut off from workers. */
    void detours(Detours value) {
        this.detours = value;
    }

    Detours detours() {
        return detours;
    }

    private void onCutOff(String service) {
        List<ForwardedRequest> affected = new ArrayList<>();
        sent.stream().filter(request -> request.service().equals(service)).forEach(affected::add);
        affected.addAll(queue(service).queuedRequests().requests());
        affected.forEach(ForwardedRequest::onCutOff);
    }

    private List<UpstreamRecord> servingWorkers(String service) {
        return queue(service).workers().workers().values().stream()
                .map(UpstreamState::record)
                .toList();
    }

    /** Returns what knows whether this node reaches the workers of a service. */
    WorkerReach reach() {
        return reach;
    }

    /** Returns the states of all serving workers, including ejected ones. */
    List<UpstreamState> workers() {
        List<UpstreamState> all = new ArrayList<>();
        queues.values().forEach(queue -> all.addAll(queue.workers().workers().values()));
        return all;
    }
}
