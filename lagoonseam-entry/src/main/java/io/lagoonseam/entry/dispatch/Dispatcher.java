package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.audit.RequestTrail;
import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.core.configuration.Service;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.operation.OperationJournal;
import io.lagoonseam.core.retry.RetryBudget;
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

/** Runs the decisions about all services on the decision threads. */
public final class Dispatcher {

    private static final double RETRY_SHARE = 0.1;

    private final Map<String, ServiceDispatcher> services = new ConcurrentHashMap<>();
    private final Map<String, RetryBudget> retryBudgets = new ConcurrentHashMap<>();
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
            retryBudgets.computeIfAbsent(service.name(), name -> new RetryBudget(RETRY_SHARE));
            services.computeIfAbsent(service.name(), name -> newService()).configure(own);
        }
        Set<String> kept = fileSet.services().keySet();
        services.forEach((name, service) -> {
            if (!kept.contains(name) && services.remove(name, service)) {
                service.close();
            }
        });
    }

    private ServiceDispatcher newService() {
        return new ServiceDispatcher(
                policies.admission().get(),
                policies.selector().apply(new Random(random.nextLong())),
                time,
                invariants,
                metrics);
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

    /** Asks every upstream for its load. */
    public void pollLoad() {
        services.values()
                .forEach(service -> service.upstreams()
                        .forEach(upstream -> upstreams
                                .readWaiting(upstream)
                                .onSuccess(waiting -> service.report(upstream.name(), waiting))
                                .onComplete(result -> noteConnection(upstream.name(), result.cause()))));
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
        retryBudget(service).recordFirstAttempt();
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

    ServiceDispatcher service(String name) {
        return services.computeIfAbsent(name, unknown -> newService());
    }

    RetryBudget retryBudget(String service) {
        return retryBudgets.computeIfAbsent(service, name -> new RetryBudget(RETRY_SHARE));
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
