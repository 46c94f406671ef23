package io.lagoonseam.bench.fleet;

import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.core.configuration.Model;
import io.lagoonseam.core.configuration.Service;
import io.lagoonseam.core.configuration.ServiceKind;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.entry.EntryNode;
import io.lagoonseam.entry.configuration.ApplyResult;
import io.lagoonseam.entry.configuration.ConfigurationStore;
import io.lagoonseam.entry.configuration.FileSetReader;
import io.lagoonseam.entry.configuration.SourceFile;
import io.lagoonseam.entry.dispatch.ServicePolicies;
import io.lagoonseam.entry.platform.PlatformClient;
import io.lagoonseam.entry.settings.EntrySettings;
import io.lagoonseam.standin.AbstractStandIn;
import io.lagoonseam.standin.engine.EngineOptions;
import io.lagoonseam.standin.engine.ModelEngineStandIn;
import io.lagoonseam.standin.plain.PlainServiceStandIn;
import io.lagoonseam.standin.platform.PlatformStandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Runs entry nodes, a stand-in platform and the stand-in upstreams of a file set in one process on the loopback
 * address.
 *
 * <p>Methods that start, stop or change something block the calling thread and must not be called on an event loop.
 */
public final class LocalFleet implements AutoCloseable {

    private static final String HOST = "127.0.0.1";
    private static final long TIMEOUT_SECONDS = 30;
    private static final long READY_POLL_MILLIS = 10;

    private final Vertx vertx;
    private final long seed;
    private final EventSink events;
    private final ServicePolicies policies;
    private final EngineOptions.Builder engineOptions;
    private final Map<String, ModelEngineStandIn> engines = new LinkedHashMap<>();
    private final Map<String, PlainServiceStandIn> plainServices = new LinkedHashMap<>();
    private final Map<String, String> deploymentIds = new HashMap<>();
    private final List<EntryNode> nodes = new CopyOnWriteArrayList<>();
    private final Map<String, PlatformLink> links = new TreeMap<>();
    private List<SourceFile> appliedFiles = List.of();
    private int startedNodeCount;
    private final StandInClient standIns;
    private PlatformStandIn platform;
    private FileSet fileSet;

    private LocalFleet(
            Vertx vertx, long seed, EventSink events, ServicePolicies policies, EngineOptions.Builder engineOptions) {
        this.engineOptions = engineOptions;
        this.policies = policies;
        this.vertx = vertx;
        this.standIns = new StandInClient(vertx);
        this.seed = seed;
        this.events = events;
    }

    /**
     * Starts a fleet and waits until every node is ready.
     *
     * @param files the file set; the ports of its upstreams are replaced
     * @param nodeCount the number of entry nodes
     * @param seed the seed of all random choices
     * @param events the sink of numbered events
     * @return the running fleet
     */
    public static LocalFleet start(List<SourceFile> files, int nodeCount, long seed, EventSink events) {
        return start(files, nodeCount, seed, events, ServicePolicies.standard());
    }

    /**
     * Starts a fleet with the given policies, for comparisons of policies, and waits until every node is ready.
     *
     * @param files the file set; the ports of its upstreams are replaced
     * @param nodeCount the number of entry nodes
     * @param seed the seed of all random choices
     * @param events the sink of numbered events
     * @param policies the policies of each service
     * @return the running fleet
     */
    public static LocalFleet start(
            List<SourceFile> files, int nodeCount, long seed, EventSink events, ServicePolicies policies) {
        return start(files, nodeCount, seed, events, policies, EngineOptions.builder());
    }

    /**
     * Starts a fleet with the given policies and engine options and waits until every node is ready.
     *
     * @param files the file set; the ports of its upstreams are replaced
     * @param nodeCount the number of entry nodes
     * @param seed the seed of all random choices
     * @param events the sink of numbered events
     * @param policies the policies of each service
     * @param engineOptions the behaviour of the engines; address, seed, models and fencing are set by the fleet
     * @return the running fleet
     */
    public static LocalFleet start(
            List<SourceFile> files,
            int nodeCount,
            long seed,
            EventSink events,
            ServicePolicies policies,
            EngineOptions.Builder engineOptions) {
        LocalFleet fleet = new LocalFleet(Vertx.vertx(), seed, events, policies, engineOptions);
        try {
            fleet.startAll(files, nodeCount);
        } catch (RuntimeException e) {
            fleet.close();
            throw e;
        }
        return fleet;
    }

    private void startAll(List<SourceFile> files, int nodeCount) {
        fileSet = read(files);
        platform = new PlatformStandIn(HOST, 0, seed);
        await(vertx.deployVerticle(platform));
        Map<Integer, Integer> ports = new HashMap<>();
        for (String name : new TreeSet<>(fileSet.upstreams().keySet())) {
            Upstream upstream = fileSet.upstreams().get(name);
            ports.put(upstream.port(), startUpstream(upstream).port());
        }
        for (String dataCentre : dataCentres()) {
            PlatformLink link = new PlatformLink(HOST, platform.port());
            await(vertx.deployVerticle(link));
            links.put(dataCentre, link);
        }
        appliedFiles = PortRewriter.rewrite(files, ports);
        apply(appliedFiles);
        for (int index = 0; index < nodeCount; index++) {
            startNode(index);
        }
        awaitReady();
    }

    private static FileSet read(List<SourceFile> files) {
        ConfigurationErrorReporter reporter = new ConfigurationErrorReporter();
        return new FileSetReader()
                .read(files, reporter)
                .orElseThrow(() -> new IllegalArgumentException("the file set is invalid: " + reporter.errors()));
    }

    private AbstractStandIn startUpstream(Upstream upstream) {
        return startUpstream(upstream, FreePorts.find());
    }

    private AbstractStandIn startUpstream(Upstream upstream, int port) {
        Service service = fileSet.services().get(upstream.service());
        AbstractStandIn standIn;
        if (service.kind() == ServiceKind.PLAIN) {
            PlainServiceStandIn plain = new PlainServiceStandIn(HOST, port, seed);
            plainServices.put(upstream.name(), plain);
            standIn = plain;
        } else {
            ModelEngineStandIn engine = new ModelEngineStandIn(engineOptions
                    .listen(HOST, port)
                    .seed(seed)
                    .models(modelsOf(service))
                    .checksFencing(service.checksFencing())
                    .build());
            engines.put(upstream.name(), engine);
            standIn = engine;
        }
        deploymentIds.put(upstream.name(), await(vertx.deployVerticle(standIn)));
        return standIn;
    }

    private List<String> modelsOf(Service service) {
        return fileSet.models().values().stream()
                .filter(model -> model.service().equals(service.name()))
                .map(LocalFleet::nameAndVersion)
                .toList();
    }

    private static String nameAndVersion(Model model) {
        return model.name() + "@" + model.version();
    }

    private void apply(List<SourceFile> files) {
        ConfigurationStore store = new ConfigurationStore(new PlatformClient(vertx, platform.url()));
        ApplyResult result =
                await(Future.fromCompletionStage(store.apply(files, "fleet", "start", System.currentTimeMillis())));
        if (!(result instanceof ApplyResult.Applied)) {
            throw new IllegalStateException("the file set was not applied: " + result);
        }
    }

    /**
     * Starts another node and waits until all nodes are ready.
     *
     * @return the new node
     */
    public EntryNode addNode() {
        EntryNode node = startNode(startedNodeCount);
        awaitReady();
        return node;
    }

    /**
     * Starts another node without waiting until it is ready.
     *
     * @return the new node
     */
    public EntryNode addNodeWithoutWaiting() {
        return startNode(startedNodeCount);
    }

    /**
     * Stops a node without finishing its requests in flight, as in a crash.
     *
     * @param node the node
     */
    public void haltNode(EntryNode node) {
        nodes.remove(node);
        await(node.halt());
    }

    /**
     * Returns the data centres of the upstreams in the file set.
     *
     * @return the names, sorted
     */
    public List<String> dataCentres() {
        return fileSet.upstreams().values().stream()
                .map(Upstream::dataCentre)
                .distinct()
                .sorted()
                .toList();
    }

    /**
     * Returns the network link from the nodes of a data centre to the platform.
     *
     * @param dataCentre the name of the data centre
     * @return the link, or null if the file set has no upstream in the data centre
     */
    public PlatformLink link(String dataCentre) {
        return links.get(dataCentre);
    }

    /**
     * Returns the files of the file set as applied.
     *
     * @return the files, with the ports of the stand-ins
     */
    public List<SourceFile> appliedFiles() {
        return List.copyOf(appliedFiles);
    }

    /**
     * Stops a node gracefully and waits up to 30 seconds for the end of the stop.
     *
     * @param node the node
     */
    public void stopNode(EntryNode node) {
        await(node.stop());
        nodes.remove(node);
    }

    /**
     * Returns the addresses on which the ready nodes accept callers, as a load balancer would use them.
     *
     * @return URLs without a path, in the order in which the nodes were started
     */
    public List<String> readyUrls() {
        return nodes.stream()
                .filter(EntryNode::isReady)
                .map(node -> "http://" + HOST + ":" + node.callerPort())
                .toList();
    }

    /**
     * Sets the state of a VM in the platform's VM list.
     *
     * @param upstreamName the name of the upstream, which is also the name of its VM
     * @param state {@code live}, {@code leaving} or {@code gone}
     */
    public void setVmState(String upstreamName, String state) {
        JsonObject vm = new JsonObject()
                .put("dataCentre", fileSet.upstreams().get(upstreamName).dataCentre())
                .put("state", state);
        standIns.put(platform.url() + "/vms/" + upstreamName, vm);
    }

    /**
     * Reads the counters of an upstream's stand-in.
     *
     * @param upstreamName the name of the upstream
     * @return the counters by name
     */
    public JsonObject counters(String upstreamName) {
        return standIns.get(standIn(upstreamName).url() + "/counters");
    }

    private AbstractStandIn standIn(String upstreamName) {
        ModelEngineStandIn engine = engines.get(upstreamName);
        return engine == null ? plainServices.get(upstreamName) : engine;
    }

    /**
     * Stops the stand-in of an upstream and starts a new one, without its state, on the same port.
     *
     * @param upstreamName the name of the upstream
     */
    public void replaceUpstream(String upstreamName) {
        int port = standIn(upstreamName).port();
        await(vertx.undeploy(deploymentIds.get(upstreamName)));
        startUpstream(fileSet.upstreams().get(upstreamName), port);
    }

    private EntryNode startNode(int index) {
        List<String> dataCentres = dataCentres();
        String dataCentre = dataCentres.get(index % dataCentres.size());
        EntrySettings settings = EntrySettings.builder(
                        "entry-" + (index + 1),
                        dataCentre,
                        links.get(dataCentre).url())
                .seed(seed + index)
                .build();
        EntryNode node = new EntryNode(vertx, settings, events, policies);
        await(node.start());
        nodes.add(node);
        startedNodeCount++;
        return node;
    }

    private void awaitReady() {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!nodes.stream().allMatch(EntryNode::isReady)) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException("not every node became ready within " + TIMEOUT_SECONDS + " s");
            }
            sleep(READY_POLL_MILLIS);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for the nodes to become ready", e);
        }
    }

    private static <T> T await(Future<T> future) {
        try {
            return future.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            throw new IllegalStateException("operation not completed within " + TIMEOUT_SECONDS + " s", e);
        }
    }

    /**
     * Returns the Vert.x instance that the nodes and stand-ins share.
     *
     * @return the instance
     */
    public Vertx vertx() {
        return vertx;
    }

    /**
     * Returns the file set that the fleet was started with.
     *
     * @return the file set, with the ports as written in the original files
     */
    public FileSet fileSet() {
        return fileSet;
    }

    /**
     * Returns the platform of the fleet.
     *
     * @return the stand-in platform
     */
    public PlatformStandIn platform() {
        return platform;
    }

    /**
     * Returns the model engines of the fleet.
     *
     * @return a copy of the stand-ins by the name of their upstream
     */
    public Map<String, ModelEngineStandIn> engines() {
        return Map.copyOf(engines);
    }

    /**
     * Returns the plain services of the fleet.
     *
     * @return a copy of the stand-ins by the name of their upstream
     */
    public Map<String, PlainServiceStandIn> plainServices() {
        return Map.copyOf(plainServices);
    }

    /**
     * Returns the entry nodes that have not been stopped.
     *
     * @return a copy, in the order in which the nodes were started
     */
    public List<EntryNode> nodes() {
        return List.copyOf(nodes);
    }

    @Override
    public void close() {
        nodes.forEach(node -> await(node.halt()));
        await(vertx.close());
    }
}
