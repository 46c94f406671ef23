package io.lagoonseam.bench.cost;

import io.lagoonseam.bench.fleet.StandInClient;
import io.lagoonseam.core.audit.NoopEventSink;
import io.lagoonseam.entry.EntryNode;
import io.lagoonseam.entry.configuration.ConfigurationStore;
import io.lagoonseam.entry.configuration.KeyHash;
import io.lagoonseam.entry.configuration.SourceFile;
import io.lagoonseam.entry.platform.PlatformClient;
import io.lagoonseam.entry.settings.EntrySettings;
import io.lagoonseam.standin.engine.EngineOptions;
import io.lagoonseam.standin.engine.ModelEngineStandIn;
import io.lagoonseam.standin.platform.PlatformStandIn;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** One stand-in engine and one entry node in front of it, each on event loops of its own. */
final class CostBench implements AutoCloseable {

    private static final String HOST = "127.0.0.1";
    private static final String SALT = "00112233445566778899aabbccddeeff";
    private static final long TIMEOUT_SECONDS = 30;
    private static final int NODE_EVENT_LOOPS = 2;
    private static final String NODE_ID = "entry-1";
    private static final long IDLE_STEP_MILLIS = 1_000;
    private static final int MAX_STREAMS = 1_000;

    private final Vertx engineVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Vertx nodeVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(NODE_EVENT_LOOPS));
    private final Set<Thread> nodeEventLoops = ConcurrentHashMap.newKeySet();
    private final Vertx clientVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2));
    private final StandInClient standInClient = new StandInClient(clientVertx);
    private final ModelEngineStandIn engine = new ModelEngineStandIn(
            EngineOptions.builder().stepMillis(1).maxBatch(MAX_STREAMS).build());
    private EntryNode node;

    void start(long seed) throws TimeoutException, InterruptedException {
        start(seed, 0);
    }

    /** Starts the engine and the node, with further engines that get no requests and only report their load. */
    void start(long seed, int idleEngines) throws TimeoutException, InterruptedException {
        PlatformStandIn platform = new PlatformStandIn(HOST, 0, seed);
        await(engineVertx.deployVerticle(platform));
        await(engineVertx.deployVerticle(engine));
        StringBuilder upstreams = new StringBuilder(fileSet(engine.port()));
        for (int number = 0; number < idleEngines; number++) {
            ModelEngineStandIn idle = new ModelEngineStandIn(
                    EngineOptions.builder().stepMillis(IDLE_STEP_MILLIS).build());
            await(engineVertx.deployVerticle(idle));
            upstreams.append(idleUpstream(number, idle.port()));
        }
        ConfigurationStore store = new ConfigurationStore(new PlatformClient(nodeVertx, platform.url()));
        List<SourceFile> files = List.of(new SourceFile("all.yaml", upstreams.toString()));
        await(Future.fromCompletionStage(store.apply(files, "bench", "start", System.currentTimeMillis())));
        EntrySettings settings = EntrySettings.builder(NODE_ID, "prairie-a", platform.url())
                .seed(seed)
                .build();
        node = new EntryNode(nodeVertx, settings, new NoopEventSink());
        await(node.start());
        recordNodeEventLoops();
        while (!node.isReady()) {
            Thread.sleep(1);
        }
    }

    static <T> T await(Future<T> future) throws TimeoutException {
        return future.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Returns a probe that sends its requests directly to the engine. */
    CompletionProbe directProbe(int tokens) {
        return new CompletionProbe(clientVertx, engine.url(), tokens);
    }

    /** Returns a probe that sends its requests through the node. */
    CompletionProbe routedProbe(int tokens) {
        return new CompletionProbe(clientVertx, "http://" + HOST + ":" + node.callerPort(), tokens);
    }

    long engineCpuNanos() {
        return standInClient.get(engine.url() + "/counters").getLong("eventLoopCpuNanos");
    }

    /** Returns the CPU time of the node's event loops and decision threads, in nanoseconds. */
    long nodeCpuNanos() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread ->
                        nodeEventLoops.contains(thread) || thread.getName().startsWith(NODE_ID + "-decision"))
                .mapToLong(thread -> threads.getThreadCpuTime(thread.getId()))
                .sum();
    }

    private void recordNodeEventLoops() throws TimeoutException {
        for (int loop = 0; loop < 2 * NODE_EVENT_LOOPS; loop++) {
            Promise<Void> found = Promise.promise();
            nodeVertx.runOnContext(nothing -> {
                nodeEventLoops.add(Thread.currentThread());
                found.complete();
            });
            await(found.future());
        }
    }

    long invariantViolations() {
        return node.invariants().totalViolations();
    }

    private static String idleUpstream(int number, int port) {
        return """
                ---
                kind: Upstream
                name: idle-%d
                service: care-llm
                host: 127.0.0.1
                port: %d
                dataCentre: prairie-a
                concurrency: 8
                """.formatted(number, port);
    }

    private static String fileSet(int enginePort) {
        return """
                kind: ServiceLevel
                name: level
                firstTokenMillis: 820
                betweenTokensMillis: 27
                deadlineMillis: 10000
                longestWaitMillis: 10000
                weight: 10
                queueCapacity: 10000
                ---
                {kind: Service, name: care-llm, type: model, silenceMillis: 5000}
                ---
                {kind: Model, name: care-1, service: care-llm, version: "1"}
                ---
                kind: RequestClass
                name: aftercare
                service: care-llm
                serviceLevel: level
                tier: urgent
                idempotent: true
                ---
                {kind: Workspace, name: regina, classes: [aftercare]}
                ---
                kind: Upstream
                name: e1
                service: care-llm
                host: 127.0.0.1
                port: %d
                dataCentre: prairie-a
                concurrency: 1000
                ---
                {kind: Key, name: regina, workspace: regina, saltHex: "%s", hashHex: "%s"}
                """.formatted(enginePort, SALT, KeyHash.hash(SALT, "demo"));
    }

    @Override
    public void close() throws TimeoutException {
        if (node != null) {
            await(node.halt());
        }
        await(clientVertx.close());
        await(nodeVertx.close());
        await(engineVertx.close());
    }
}
