package io.lagoonseam.entry.forward;

import io.lagoonseam.core.audit.DecisionLog;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.forward.ForwardService;
import io.lagoonseam.core.forward.LatencyLanes;
import io.lagoonseam.core.forward.LeastLoadedChooser;
import io.lagoonseam.core.forward.OutcomeCount;
import io.lagoonseam.core.forward.PrefixChooser;
import io.lagoonseam.core.forward.RepeatBudget;
import io.lagoonseam.core.forward.RoutingConfiguration;
import io.lagoonseam.core.forward.UpstreamChooser;
import io.lagoonseam.core.forward.UpstreamDirectory;
import io.lagoonseam.core.forward.UpstreamRecord;
import io.lagoonseam.core.forward.UpstreamState;
import io.lagoonseam.core.forward.UpstreamTrust;
import io.lagoonseam.core.hash.Rendezvous;
import io.lagoonseam.core.time.TimeSource;
import io.vertx.core.http.HttpClientAgent;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Places requests on workers: keeps the queue of each service in step with the directory and the configuration. */
final class ForwardDispatcher {

    /** The part of a worker's connections that the nodes use together, since their counts of each other lag. */
    private static final double CONNECTION_SHARE = 0.9;

    /**
     * How long the workers that a restarted node finds are believed to keep every part, in milliseconds: until requests
     * and peers have shown which they do.
     */
    private static final long ASSUMED_MILLIS = 8_000;

    private final ForwardEnvironment environment;
    private final HttpClientAgent client;
    private final TimeSource time;
    private final DecisionLog log;
    private final UpstreamDirectory directory;
    private final Map<String, ServiceQueue> queues = new HashMap<>();
    private final Map<String, WorkerConnections> connections = new HashMap<>();
    private final UpstreamChooser engineChooser = new PrefixChooser();
    private final UpstreamChooser plainChooser;
    private final Map<String, List<Long>> partsRead = new HashMap<>();
    private RoutingConfiguration configuration;
    private int nodes = 1;

    ForwardDispatcher(ForwardEnvironment environment, HttpClientAgent client, UpstreamDirectory directory) {
        this.environment = environment;
        this.client = client;
        this.time = environment.time();
        this.log = environment.events();
        this.directory = directory;
        this.plainChooser =
                new LeastLoadedChooser(Rendezvous.hash(environment.settings().nodeName()));
    }

    /** Puts a configuration in force. */
    void configure(RoutingConfiguration value) {
        this.configuration = value;
        configureQueues();
        refresh();
    }

    /** Takes over the bounds of the settings in force. */
    void takeBounds() {
        NodeSettings.Bounds bounds = environment.settings().bounds();
        queues.values()
                .forEach(queue ->
                        queue.budget().limits(bounds.repeatRatio(), bounds.repeatWindowMillis(), bounds.repeatSlack()));
    }

    /** Sets the nodes that share the workers, this one included. */
    void nodes(int value) {
        if (nodes != value) {
            nodes = value;
            configureQueues();
        }
    }

    int nodes() {
        return nodes;
    }

    private void configureQueues() {
        queues.forEach(this::configure);
    }

    private void configure(String name, ServiceQueue queue) {
        Optional<ForwardService> service = configuration == null ? Optional.empty() : configuration.service(name);
        service.ifPresent(found -> {
            queue.modelEngine(found.modelEngine());
            // where all counts arrive in time, the tokens that wait to be read tell more than the memory that is held
            boolean countsArrive = nodes <= PeerExchange.FAN_OUT + 1;
            queue.memoryTokens(countsArrive ? 0 : found.memoryTokens());
            queue.connectionsPerWorker(
                    Math.max(1, (int) (CONNECTION_SHARE * found.maxConnections() / Math.max(1, nodes))));
        });
    }

    private ServiceQueue queue(String service) {
        return queues.computeIfAbsent(service, name -> {
            NodeSettings.Bounds bounds = environment.settings().bounds();
            ServiceQueue queue = new ServiceQueue(
                    engineChooser,
                    plainChooser,
                    new RepeatBudget(bounds.repeatRatio(), bounds.repeatWindowMillis(), bounds.repeatSlack()));
            configure(name, queue);
            return queue;
        });
    }

    /** Takes over what the directory knows; workers that get no new work leave, requests that wait are placed. */
    void refresh() {
        Set<String> serving = new HashSet<>();
        boolean first = connections.isEmpty() && !environment.settings().firstStart();
        long assumedUntilMillis = first ? time.monotonicMillis() + ASSUMED_MILLIS : Long.MIN_VALUE;
        for (UpstreamRecord record : directory.serving()) {
            serving.add(record.id());
            keep(record, assumedUntilMillis);
        }
        for (ServiceQueue queue : queues.values()) {
            queue.workers().keySet().removeIf(id -> {
                boolean gone = !serving.contains(id);
                if (gone) {
                    forget(id);
                }
                return gone;
            });
            LatencyLanes.divide(queue.workers().values());
        }
        pump();
    }

    private void keep(UpstreamRecord record, long assumedUntilMillis) {
        ServiceQueue queue = queue(record.service());
        Map<String, UpstreamState> workers = queue.workers();
        UpstreamState known = workers.get(record.id());
        if (known != null && known.record().sameIncarnation(record)) {
            known.record(record);
            return;
        }
        if (known != null) {
            forget(record.id());
        }
        log.decided(
                EventCode.UPSTREAM_SEEN,
                "",
                "worker",
                record.id(),
                "service",
                record.service(),
                "data_centre",
                record.dataCentre(),
                "revision",
                record.revision());
        UpstreamState state = queue.state(record);
        state.keptParts().assumeAll(assumedUntilMillis);
        workers.put(record.id(), state);
        connections.put(record.id(), new WorkerConnections(client, record.host(), record.port(), time));
    }

    private void forget(String id) {
        log.decided(EventCode.UPSTREAM_LEAVING, "", "worker", id);
        WorkerConnections gone = connections.remove(id);
        if (gone != null) {
            gone.closeIdle();
        }
    }

    /** Returns the connections to a worker. */
    Optional<WorkerConnections> connections(String workerId) {
        return Optional.ofNullable(connections.get(workerId));
    }

    /** Counts a request of a caller for a service. */
    void count(String service) {
        queue(service).budget().request(time.monotonicMillis());
    }

    /** Places a request, or lets it wait until a place comes free. */
    void submit(ForwardedRequest request, long latestMillis) {
        ServiceQueue queue = queue(request.service());
        queue.line().add(request, request.priority(), latestMillis);
        if (queue.hasWorkers()) {
            queue.line().offer(waiting -> place(queue, waiting));
        }
    }

    private boolean place(ServiceQueue queue, ForwardedRequest request) {
        long nowMillis = time.monotonicMillis();
        Optional<UpstreamChooser.Choice> choice =
                queue.choose(request, environment.settings().dataCentre(), nowMillis);
        choice.ifPresent(found -> {
            queue.promptSent(request.lane(), request.prompt().tokens(), found.tokensToRead());
            request.send(found);
        });
        return choice.isPresent();
    }

    /** Notes that a worker has read a shared prompt part, to be told to other nodes. */
    void partRead(String workerId, long affinity) {
        partsRead.computeIfAbsent(workerId, id -> new ArrayList<>()).add(affinity);
    }

    /** Returns the parts that workers have read for this node since they were last told. */
    Map<String, List<Long>> partsRead() {
        return Map.copyOf(partsRead);
    }

    /** Begins a new list of parts. */
    void partsTold() {
        partsRead.clear();
    }

    /** Takes what came of an attempt at a worker. */
    void observe(UpstreamState worker, UpstreamTrust.Outcome outcome) {
        queue(worker.record().service()).observe(worker, outcome, time.monotonicMillis());
    }

    /** Sets aside the workers that fail more than the others of their service, with what peers have told. */
    void setFailingAside() {
        long nowMillis = time.monotonicMillis();
        queues.forEach((service, queue) -> queue.setFailingAside(nowMillis).forEach(worker -> {
            OutcomeCount seen = worker.outcomes(nowMillis);
            log.decided(
                    EventCode.UPSTREAM_SET_ASIDE,
                    "",
                    "worker",
                    worker.record().id(),
                    "service",
                    service,
                    "outcome",
                    "failing at all nodes",
                    "outcomes",
                    seen.outcomes(),
                    "failures",
                    seen.failures());
        }));
    }

    /** Takes a repeat from the budget of a service. */
    boolean tryRepeat(String service) {
        return queue(service).budget().tryTake(nodes, time.monotonicMillis());
    }

    /** Withdraws a request that waits. */
    void withdraw(ForwardedRequest request) {
        queue(request.service()).line().remove(request);
    }

    /** Places requests that wait and gives up those that have waited for too long. */
    void pump() {
        long nowMillis = time.monotonicMillis();
        for (ServiceQueue queue : List.copyOf(queues.values())) {
            if (queue.line().size() == 0) {
                continue;
            }
            queue.line().offer(request -> place(queue, request));
            queue.line().expire(nowMillis).forEach(ForwardedRequest::onWaitedTooLong);
        }
    }

    /** Closes idle connections that will not be used again. */
    void sweep() {
        connections.values().forEach(WorkerConnections::sweep);
    }

    /** Returns the state of a worker that gets work. */
    Optional<UpstreamState> worker(String id) {
        for (ServiceQueue queue : queues.values()) {
            UpstreamState state = queue.workers().get(id);
            if (state != null) {
                return Optional.of(state);
            }
        }
        return Optional.empty();
    }

    /** Returns the states of all workers that get work. */
    List<UpstreamState> workers() {
        List<UpstreamState> all = new ArrayList<>();
        queues.values().forEach(queue -> all.addAll(queue.workers().values()));
        return all;
    }
}
