package io.lagoonseam.bench.cost;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lagoonseam.bench.experiment.Experiment;
import io.lagoonseam.bench.experiment.ExperimentContext;
import io.lagoonseam.bench.experiment.ExperimentResult;
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
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Measures added latency and throughput of one node against the caller going straight to the engine, in one run. */
public final class RouterCostExperiment implements Experiment {

    private static final String HOST = "127.0.0.1";
    private static final String SALT = "00112233445566778899aabbccddeeff";
    private static final int TOKENS = 8;
    private static final int SATURATING_CONCURRENCY = 128;
    private static final int ROUNDS = 2;
    private static final long WARM_UP_MILLIS = 4_000;
    private static final long PHASE_MILLIS = 3_500;
    private static final long TIMEOUT_SECONDS = 30;
    private static final double P50 = 50;
    private static final double P99 = 99;
    private static final double TARGET_ADDED_P50_MILLIS = 1;
    private static final double TARGET_ADDED_P99_MILLIS = 5;
    private static final double TARGET_THROUGHPUT_RATIO = 0.8;

    @Override
    public String name() {
        return "router-cost";
    }

    @Override
    public String summary() {
        return "Added first-token latency and throughput of one node against going straight to the engine";
    }

    /** The programs of the run, each on event loops of its own. */
    private static final class Bench implements AutoCloseable {

        private final Vertx engineVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        private final Vertx nodeVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2));
        private final Vertx clientVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2));
        private final ModelEngineStandIn engine = new ModelEngineStandIn(
                EngineOptions.builder().stepMillis(1).maxBatch(1_000).build());
        private EntryNode node;

        private void start(long seed) throws TimeoutException, InterruptedException {
            PlatformStandIn platform = new PlatformStandIn(HOST, 0, seed);
            await(nodeVertx.deployVerticle(platform));
            await(engineVertx.deployVerticle(engine));
            ConfigurationStore store = new ConfigurationStore(new PlatformClient(nodeVertx, platform.url()));
            List<SourceFile> files = List.of(new SourceFile("all.yaml", fileSet(engine.port())));
            await(Future.fromCompletionStage(store.apply(files, "bench", "start", System.currentTimeMillis())));
            EntrySettings settings = EntrySettings.builder("entry-1", "prairie-a", platform.url())
                    .seed(seed)
                    .build();
            node = new EntryNode(nodeVertx, settings, new NoopEventSink());
            await(node.start());
            while (!node.isReady()) {
                Thread.sleep(1);
            }
        }

        private String nodeUrl() {
            return "http://" + HOST + ":" + node.callerPort();
        }

        private long engineCpuNanos() throws TimeoutException {
            RequestOptions options =
                    new RequestOptions().setMethod(HttpMethod.GET).setAbsoluteURI(engine.url() + "/counters");
            return await(clientVertx
                    .createHttpClient()
                    .request(options)
                    .compose(request -> request.send())
                    .compose(response -> response.body())
                    .map(body -> new JsonObject(body).getLong("eventLoopCpuNanos")));
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

    private static <T> T await(Future<T> future) throws TimeoutException {
        return future.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
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
                {kind: RequestClass, name: aftercare, service: care-llm, serviceLevel: level, tier: urgent, idempotent: true}
                ---
                {kind: Workspace, name: regina, classes: [aftercare]}
                ---
                {kind: Upstream, name: e1, service: care-llm, host: 127.0.0.1, port: %d, dataCentre: a, concurrency: 1000}
                ---
                {kind: Key, name: regina, workspace: regina, saltHex: "%s", hashHex: "%s"}
                """.formatted(enginePort, SALT, KeyHash.hash(SALT, "demo"));
    }

    /** Throughput at saturation, and what it cost the engine. */
    private record Saturation(double requestsPerSecond, double requestsPerEngineCoreSecond) {}

    @Override
    public ExperimentResult run(ExperimentContext context) throws TimeoutException, InterruptedException {
        try (Bench bench = new Bench()) {
            bench.start(context.seed());
            CompletionProbe direct = new CompletionProbe(bench.clientVertx, bench.engine.url(), TOKENS);
            CompletionProbe routed = new CompletionProbe(bench.clientVertx, bench.nodeUrl(), TOKENS);
            context.progress().println("warm-up");
            await(direct.closedLoop(SATURATING_CONCURRENCY, WARM_UP_MILLIS));
            await(routed.closedLoop(SATURATING_CONCURRENCY, WARM_UP_MILLIS));
            context.progress().println("saturation");
            Saturation directLimit = saturate(bench, direct);
            Saturation routedLimit = saturate(bench, routed);
            double halfLoad = Math.min(directLimit.requestsPerSecond(), routedLimit.requestsPerSecond()) / 2;
            context.progress().println("half load, direct and routed in turn");
            Latency latency = measure(direct, routed, halfLoad);
            return result(
                    directLimit,
                    routedLimit,
                    halfLoad,
                    latency,
                    bench.node.invariants().totalViolations());
        }
    }

    private static Saturation saturate(Bench bench, CompletionProbe probe) throws TimeoutException {
        long cpuBeforeNanos = bench.engineCpuNanos();
        long startNanos = System.nanoTime();
        CompletionProbe.Phase phase = await(probe.closedLoop(SATURATING_CONCURRENCY, PHASE_MILLIS));
        double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
        double cpuSeconds = (bench.engineCpuNanos() - cpuBeforeNanos) / 1e9;
        return new Saturation(phase.completed() / elapsedSeconds, phase.completed() / cpuSeconds);
    }

    /** The quantiles of both ways, each the mean over the rounds. */
    private static final class Latency {

        private double directP50Millis;
        private double directP99Millis;
        private double routedP50Millis;
        private double routedP99Millis;
        private long failed;

        private double addedP50Millis() {
            return routedP50Millis - directP50Millis;
        }

        private double addedP99Millis() {
            return routedP99Millis - directP99Millis;
        }
    }

    private static Latency measure(CompletionProbe direct, CompletionProbe routed, double requestsPerSecond)
            throws TimeoutException {
        Latency latency = new Latency();
        for (int round = 0; round < ROUNDS; round++) {
            CompletionProbe.Phase straight = await(direct.openLoop(requestsPerSecond, PHASE_MILLIS));
            CompletionProbe.Phase through = await(routed.openLoop(requestsPerSecond, PHASE_MILLIS));
            latency.directP50Millis += straight.firstTokenMillis(P50) / ROUNDS;
            latency.directP99Millis += straight.firstTokenMillis(P99) / ROUNDS;
            latency.routedP50Millis += through.firstTokenMillis(P50) / ROUNDS;
            latency.routedP99Millis += through.firstTokenMillis(P99) / ROUNDS;
            latency.failed += straight.failed() + through.failed();
        }
        return latency;
    }

    private static ExperimentResult result(
            Saturation direct, Saturation routed, double halfLoad, Latency latency, long violations) {
        double perCoreRatio = routed.requestsPerEngineCoreSecond() / direct.requestsPerEngineCoreSecond();
        ObjectNode fields = JsonNodeFactory.instance.objectNode();
        fields.put("directRequestsPerSecond", direct.requestsPerSecond());
        fields.put("routedRequestsPerSecond", routed.requestsPerSecond());
        fields.put("directRequestsPerEngineCoreSecond", direct.requestsPerEngineCoreSecond());
        fields.put("routedRequestsPerEngineCoreSecond", routed.requestsPerEngineCoreSecond());
        fields.put("throughputPerEngineCoreRatio", perCoreRatio);
        fields.put("halfLoadRequestsPerSecond", halfLoad);
        fields.put("directFirstTokenP50Millis", latency.directP50Millis);
        fields.put("directFirstTokenP99Millis", latency.directP99Millis);
        fields.put("addedFirstTokenP50Millis", latency.addedP50Millis());
        fields.put("addedFirstTokenP99Millis", latency.addedP99Millis());
        fields.put("failedRequests", latency.failed);
        fields.put("meetsAddedP50", latency.addedP50Millis() < TARGET_ADDED_P50_MILLIS);
        fields.put("meetsAddedP99", latency.addedP99Millis() < TARGET_ADDED_P99_MILLIS);
        fields.put("meetsThroughputRatio", perCoreRatio >= TARGET_THROUGHPUT_RATIO);
        String report = String.format(
                Locale.ROOT,
                "# Router cost%n%n"
                        + "| way | requests/s | per engine core second | first token p50 ms | p99 ms |%n|---|---|---|---|---|%n"
                        + "| direct | %.0f | %.0f | %.2f | %.2f |%n| through one node | %.0f | %.0f | %.2f | %.2f |%n%n"
                        + "At %.0f requests/s the node adds %.2f ms at p50 (target below 1) and %.2f ms at p99 (below 5).%n"
                        + "Throughput per core spent by the engine: %.2f of direct (target at least 0.8).%n",
                direct.requestsPerSecond(),
                direct.requestsPerEngineCoreSecond(),
                latency.directP50Millis,
                latency.directP99Millis,
                routed.requestsPerSecond(),
                routed.requestsPerEngineCoreSecond(),
                latency.routedP50Millis,
                latency.routedP99Millis,
                halfLoad,
                latency.addedP50Millis(),
                latency.addedP99Millis(),
                perCoreRatio);
        return new ExperimentResult(fields, report, violations);
    }
}
