package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.audit.RequestTrail;
import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.core.configuration.Service;
import io.lagoonseam.core.configuration.ServiceKind;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.hash.Rendezvous;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.limits.NoopWorkspaceLimiter;
import io.lagoonseam.core.limits.WorkspaceLimiter;
import io.lagoonseam.core.operation.OperationJournal;
import io.lagoonseam.core.routing.WorkerTable;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.entry.upstream.UpstreamClient;
import java.net.ConnectException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/** Dispatches requests to the upstreams of all services. Decisions run on the decision executor. */
public final class Dispatcher {

    private static final int SUBSET_WORKERS = 64;

    private final Map<String, ServiceDispatcher> services = new ConcurrentHashMap<>();
    private final Map<String, ServiceRecovery> recoveries = new ConcurrentHashMap<>();
    private final Executor decisions;
    private final TimeSource time;
    private final UpstreamClient upstreams;
    private final OperationJournal journal;
    private final RouterMetrics metrics;
    private final InvariantMonitor invariants;
    private final EventSink events;
    private final ServicePolicies policies;
    private final Random random;
    private final RequestTrail trail = new RequestTrail();
    private final AtomicInteger inFlight = new AtomicInteger();
    private volatile WorkspaceLimiter limiter = new NoopWorkspaceLimiter();
    private volatile Set<String> modelServices = Set.of();
    private volatile String subsetOwner;
    private final Set<AbstractRequestRunner> running = ConcurrentHashMap.newKeySet();
    private final LeavingUpstreamCheck leavingCheck;
    private volatile BiConsumer<String, Boolean> connectionListener = (name, accepts) -> {};

    /**
     * Creates a dispatcher without services.
     *
     * @param environment the collaborators and settings
     */
    public Dispatcher(DispatchEnvironment environment) {
        this.decisions = environment.decisions();
        this.time = environment.time();
        this.upstreams = environment.upstreams();
        this.journal = environment.journal();
        this.metrics = environment.metrics();
        this.invariants = environment.invariants();
        this.leavingCheck = new LeavingUpstreamCheck(time, invariants);
        this.events = environment.events();
        this.policies = environment.policies();
        this.random = new Random(environment.seed());
        this.subsetOwner = Long.toString(environment.seed());
    }

    /**
     * Sets the node id that selects this node's subset of at most 64 upstreams per service by rendezvous hashing. Must
     * be called before the first configuration.
     *
     * @param nodeId the id of the node
     */
    public void setNodeId(String nodeId) {
        subsetOwner = nodeId;
    }

    /**
     * Sets the limiter of workspaces.
     *
     * @param newLimiter the limiter that admits each new request
     */
    public void setWorkspaceLimiter(WorkspaceLimiter newLimiter) {
        limiter = newLimiter;
    }

    WorkspaceLimiter limiter() {
        return limiter;
    }

    /**
     * Applies the services and upstreams of a file set. Refuses the waiting requests of services that were removed.
     *
     * @param fileSet the configuration to apply
     */
    public void configure(FileSet fileSet) {
        for (Service service : fileSet.services().values()) {
            List<Upstream> serviceUpstreams = fileSet.upstreams().values().stream()
                    .filter(upstream -> upstream.service().equals(service.name()))
                    .toList();
            services.computeIfAbsent(service.name(), name -> newService())
                    .configure(Rendezvous.subset(subsetOwner, serviceUpstreams, Upstream::name, SUBSET_WORKERS));
        }
        modelServices = fileSet.services().values().stream()
                .filter(service -> service.kind() == ServiceKind.MODEL)
                .map(Service::name)
                .collect(Collectors.toUnmodifiableSet());
        Set<String> configuredNames = fileSet.services().keySet();
        services.forEach((name, service) -> {
            if (!configuredNames.contains(name) && services.remove(name, service)) {
                service.close();
            }
        });
    }

    private ServiceDispatcher newService() {
        WorkerTable workers = new WorkerTable(policies.routing(), time, new Random(random.nextLong()));
        return new ServiceDispatcher(policies.admission().get(), workers, time, invariants, metrics);
    }

    /**
     * Marks the upstreams that are leaving; they receive no new requests.
     *
     * @param names the names of all upstreams that the VM list shows as leaving
     */
    public void markLeaving(Set<String> names) {
        leavingCheck.updateLeaving(names);
        decisions.execute(() -> services.values().forEach(service -> service.markLeaving(names)));
    }

    /**
     * Refuses waiting requests that have passed their deadline or longest wait, and dispatches others. Called
     * periodically.
     */
    public void tick() {
        decisions.execute(() -> services.values().forEach(ServiceDispatcher::dispatchQueued));
    }

    /**
     * Polls the load report of every upstream in this node's subset and, for model services, the events of its prefix
     * cache. Called periodically.
     */
    public void pollLoad() {
        services.forEach((name, service) -> {
            boolean hasPrefixCache = modelServices.contains(name);
            for (Upstream upstream : service.upstreams()) {
                upstreams
                        .readLoad(upstream)
                        .onSuccess(report -> decide(() -> service.recordLoadReport(upstream.name(), report)))
                        .onComplete(result -> reportConnection(upstream.name(), result.cause()));
                if (hasPrefixCache) {
                    pollCache(service, upstream);
                }
            }
        });
    }

    private void pollCache(ServiceDispatcher service, Upstream upstream) {
        upstreams
                .readCacheEvents(upstream, service.lastCacheEvent(upstream.name()))
                .onSuccess(list -> decide(() -> service.applyCacheEvents(upstream.name(), list)));
    }

    /**
     * Submits a model request.
     *
     * @param request the request and the sink of its answer
     * @return the handle to cancel it
     */
    public CancellableRequest generate(ModelRequest request) {
        ModelRequestRunner runner = new ModelRequestRunner(this, request);
        recordSubmission(request.ticket().requestClass().service());
        decisions.execute(runner::submit);
        return runner;
    }

    /**
     * Submits a request to a plain service.
     *
     * @param request the request and the sink of its answer
     * @return the handle to cancel it
     */
    public CancellableRequest call(PlainServiceRequest request) {
        PlainRequestRunner runner = new PlainRequestRunner(this, request);
        recordSubmission(request.ticket().requestClass().service());
        decisions.execute(runner::submit);
        return runner;
    }

    private void recordSubmission(String service) {
        inFlight.incrementAndGet();
        recovery(service).budget().recordFirstAttempt();
    }

    /**
     * Sets the listener for results of connections to upstreams, as seen when their load is polled.
     *
     * @param listener receives the upstream's name and whether it accepted the connection; called on the decision
     *     executor
     */
    public void setConnectionListener(BiConsumer<String, Boolean> listener) {
        connectionListener = listener;
    }

    private void reportConnection(String upstreamName, Throwable failure) {
        if (failure == null || failure instanceof ConnectException) {
            decide(() -> connectionListener.accept(upstreamName, failure == null));
        }
    }

    /**
     * Ends every request in flight with a refusal whose verdict says whether it may have run. Called when the stop
     * deadline has passed.
     */
    public void abortInFlight() {
        running.forEach(AbstractRequestRunner::abort);
    }

    void register(AbstractRequestRunner runner) {
        running.add(runner);
    }

    void unregister(AbstractRequestRunner runner) {
        running.remove(runner);
    }

    LeavingUpstreamCheck leavingCheck() {
        return leavingCheck;
    }

    void decrementInFlight() {
        inFlight.decrementAndGet();
    }

    /**
     * Returns the number of requests in flight, queued or running.
     *
     * @return the number of requests that have not ended
     */
    public int inFlight() {
        return inFlight.get();
    }

    /**
     * Returns the recorded decisions about the most recent requests.
     *
     * @return the trail, by request
     */
    public RequestTrail trail() {
        return trail;
    }

    void eachService(Consumer<ServiceDispatcher> action) {
        services.values().forEach(action);
    }

    ServiceDispatcher service(String name) {
        return services.computeIfAbsent(name, ignored -> newService());
    }

    ServiceRecovery recovery(String service) {
        return recoveries.computeIfAbsent(service, name -> new ServiceRecovery(time, new Random(random.nextLong())));
    }

    void decide(Runnable decision) {
        decisions.execute(decision);
    }

    TimeSource time() {
        return time;
    }

    UpstreamClient upstreams() {
        return upstreams;
    }

    OperationJournal journal() {
        return journal;
    }

    RouterMetrics metrics() {
        return metrics;
    }

    InvariantMonitor invariants() {
        return invariants;
    }

    void record(EventCode code, String detail) {
        events.record(code, detail);
    }
}
