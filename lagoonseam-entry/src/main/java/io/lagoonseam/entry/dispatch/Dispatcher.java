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

/** Runs the decisions about all services on the decision threads. */
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
    private final NewWorkCheck newWork;
    private volatile BiConsumer<String, Boolean> connections = (name, accepts) -> {};

    /**
     * Creates a dispatcher without services.
     *
     * @param environment what it works with
     */
    public Dispatcher(DispatchEnvironment environment) {
        this.decisions = environment.decisions();
        this.time = environment.time();
        this.upstreams = environment.upstreams();
        this.journal = environment.journal();
        this.metrics = environment.metrics();
        this.invariants = environment.invariants();
        this.newWork = new NewWorkCheck(time, invariants);
        this.events = environment.events();
        this.policies = environment.policies();
        this.random = new Random(environment.seed());
        this.subsetOwner = Long.toString(environment.seed());
    }

    /**
     * Sets the name by which this node's subset of a large fleet is chosen; called before any configuration.
     *
     * @param nodeId the name of the node
     */
    public void identify(String nodeId) {
        subsetOwner = nodeId;
    }

    /**
     * Keeps workspaces within limits.
     *
     * @param newLimiter what each new request must pass
     */
    public void limitBy(WorkspaceLimiter newLimiter) {
        limiter = newLimiter;
    }

    WorkspaceLimiter limiter() {
        return limiter;
    }

    /**
     * Puts the services and upstreams of a file set in force.
     *
     * @param fileSet the file set
     */
    public void configure(FileSet fileSet) {
        for (Service service : fileSet.services().values()) {
            List<Upstream> own = fileSet.upstreams().values().stream()
                    .filter(upstream -> upstream.service().equals(service.name()))
                    .toList();
            services.computeIfAbsent(service.name(), name -> newService())
                    .configure(Rendezvous.subset(subsetOwner, own, Upstream::name, SUBSET_WORKERS));
        }
        modelServices = fileSet.services().values().stream()
                .filter(service -> service.kind() == ServiceKind.MODEL)
                .map(Service::name)
                .collect(Collectors.toUnmodifiableSet());
        Set<String> kept = fileSet.services().keySet();
        services.forEach((name, service) -> {
            if (!kept.contains(name) && services.remove(name, service)) {
                service.close();
            }
        });
    }

    private ServiceDispatcher newService() {
        WorkerTable workers = new WorkerTable(policies.routing(), time, new Random(random.nextLong()));
        return new ServiceDispatcher(policies.admission().get(), workers, time, invariants, metrics);
    }

    /**
     * Marks the upstreams that are about to go.
     *
     * @param names all names that the VM list shows as leaving
     */
    public void markLeaving(Set<String> names) {
        newWork.leaving(names);
        decisions.execute(() -> services.values().forEach(service -> service.markLeaving(names)));
    }

    /** Looks for deadlines that have passed; called at short intervals. */
    public void tick() {
        decisions.execute(() -> services.values().forEach(ServiceDispatcher::pump));
    }

    /** Asks every upstream of this node's subset for its load, and engines for the events of their caches. */
    public void pollLoad() {
        services.forEach((name, service) -> {
            boolean cached = modelServices.contains(name);
            for (Upstream upstream : service.upstreams()) {
                upstreams
                        .readLoad(upstream)
                        .onSuccess(report -> decide(() -> service.report(upstream.name(), report)))
                        .onComplete(result -> noteConnection(upstream.name(), result.cause()));
                if (cached) {
                    pollCache(service, upstream);
                }
            }
        });
    }

    private void pollCache(ServiceDispatcher service, Upstream upstream) {
        upstreams
                .readCacheEvents(upstream, service.lastCacheEvent(upstream.name()))
                .onSuccess(list -> decide(() -> service.cacheEvents(upstream.name(), list)));
    }

    /**
     * Runs a generating request.
     *
     * @param request the request
     * @return a handle to cancel it
     */
    public CancellableRequest generate(ModelRequest request) {
        ModelRequestRunner runner = new ModelRequestRunner(this, request);
        begin(request.ticket().requestClass().service());
        decisions.execute(runner::submit);
        return runner;
    }

    /**
     * Runs a request to a plain service.
     *
     * @param request the request
     * @return a handle to cancel it
     */
    public CancellableRequest call(PlainServiceRequest request) {
        PlainRequestRunner runner = new PlainRequestRunner(this, request);
        begin(request.ticket().requestClass().service());
        decisions.execute(runner::submit);
        return runner;
    }

    private void begin(String service) {
        inFlight.incrementAndGet();
        recovery(service).budget().recordFirstAttempt();
    }

    /**
     * Sets what hears whether upstreams accept connections.
     *
     * @param listener the upstream's name and whether a connection was made
     */
    public void onConnection(BiConsumer<String, Boolean> listener) {
        connections = listener;
    }

    private void noteConnection(String upstreamName, Throwable failure) {
        if (failure == null || failure instanceof ConnectException) {
            decide(() -> connections.accept(upstreamName, failure == null));
        }
    }

    /** Ends every request with a final answer that says what may have run, for a stop that has passed its deadline. */
    public void cutOff() {
        running.forEach(AbstractRequestRunner::cutOff);
    }

    void started(AbstractRequestRunner runner) {
        running.add(runner);
    }

    void ended(AbstractRequestRunner runner) {
        running.remove(runner);
    }

    NewWorkCheck newWork() {
        return newWork;
    }

    void finished() {
        inFlight.decrementAndGet();
    }

    /**
     * Returns the number of requests that have no final answer yet.
     *
     * @return queued and running requests
     */
    public int inFlight() {
        return inFlight.get();
    }

    /**
     * Returns what was decided about the latest requests.
     *
     * @return the trail
     */
    public RequestTrail trail() {
        return trail;
    }

    void eachService(Consumer<ServiceDispatcher> action) {
        services.values().forEach(action);
    }

    ServiceDispatcher service(String name) {
        return services.computeIfAbsent(name, unknown -> newService());
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
