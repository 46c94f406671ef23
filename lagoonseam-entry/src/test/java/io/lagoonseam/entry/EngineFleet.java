package io.lagoonseam.entry;

import io.lagoonseam.core.audit.EventCode;
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
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** One entry node with several model engine stand-ins into which faults can be injected. */
final class EngineFleet implements AutoCloseable {

    private static final String SALT = "00112233445566778899aabbccddeeff";

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Vertx vertx = Vertx.vertx();
    private final List<ModelEngineStandIn> engines = new ArrayList<>();
    private final Map<EventCode, AtomicInteger> events = new ConcurrentHashMap<>();
    private final Queue<String> violations = new ConcurrentLinkedQueue<>();
    private final EntryNode node;

    EngineFleet(int engineCount, long stepMillis, String tier, boolean idempotent) throws InterruptedException {
        PlatformStandIn platform = new PlatformStandIn("127.0.0.1", 0, 1);
        vertx.deployVerticle(platform).await();
        StringBuilder files = new StringBuilder(configurationWithoutUpstreams(tier, idempotent));
        for (int index = 0; index < engineCount; index++) {
            ModelEngineStandIn engine = new ModelEngineStandIn(
                    EngineOptions.builder().stepMillis(stepMillis).build());
            vertx.deployVerticle(engine).await();
            engines.add(engine);
            files.append(upstream(index, engine.port()));
        }
        ConfigurationStore store = new ConfigurationStore(new PlatformClient(vertx, platform.url()));
        List<SourceFile> sources = List.of(new SourceFile("all.yaml", files.toString()));
        Future.fromCompletionStage(store.apply(sources, "ann", "test", 1)).await();
        EntrySettings settings =
                EntrySettings.builder("entry-1", "a", platform.url()).build();
        node = new EntryNode(vertx, settings, this::record);
        node.start().await();
        while (!node.isReady()) {
            Thread.sleep(5);
        }
    }

    private void record(EventCode code, String detail) {
        events.computeIfAbsent(code, unknown -> new AtomicInteger()).incrementAndGet();
        if (code == EventCode.INVARIANT_VIOLATED) {
            violations.add(detail);
        }
    }

    private static String configurationWithoutUpstreams(String tier, boolean idempotent) {
        return """
                kind: ServiceLevel
                name: level
                firstTokenMillis: 5000
                betweenTokensMillis: 1000
                deadlineMillis: 10000
                longestWaitMillis: 10000
                weight: 10
                queueCapacity: 1000
                ---
                {kind: Service, name: care-llm, type: model, silenceMillis: 600}
                ---
                {kind: Model, name: care-1, service: care-llm, version: "1"}
                ---
                kind: RequestClass
                name: aftercare
                service: care-llm
                serviceLevel: level
                tier: %s
                idempotent: %s
                ---
                {kind: Workspace, name: regina, classes: [aftercare]}
                ---
                {kind: Key, name: regina, workspace: regina, saltHex: "%s", hashHex: "%s"}
                """.formatted(tier, idempotent, SALT, KeyHash.hash(SALT, "demo"));
    }

    private static String upstream(int index, int port) {
        return "---\n{kind: Upstream, name: e%d, service: care-llm, host: 127.0.0.1, port: %d, dataCentre: a, concurrency: 16}\n"
                .formatted(index, port);
    }

    int engineCount() {
        return engines.size();
    }

    EntryNode node() {
        return node;
    }

    int count(EventCode code) {
        AtomicInteger count = events.get(code);
        return count == null ? 0 : count.get();
    }

    List<String> violations() {
        return List.copyOf(violations);
    }

    long counter(String name) {
        return node.metrics().counter(name).getCount();
    }

    void injectFaults(int engine, JsonObject faults) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create(engines.get(engine).url() + "/faults"))
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(faults.encode()))
                .build();
        client.send(request, HttpResponse.BodyHandlers.discarding());
    }

    JsonObject engineCounters(int engine) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create(engines.get(engine).url() + "/counters"))
                .build();
        return new JsonObject(
                client.send(request, HttpResponse.BodyHandlers.ofString()).body());
    }

    /** Sends a request for a complete answer that is not streamed. */
    CompletableFuture<HttpResponse<String>> requestCompletion(String prompt) {
        JsonObject message = new JsonObject().put("role", "user").put("content", prompt);
        JsonObject body = new JsonObject().put("model", "care-1").put("messages", new JsonArray().add(message));
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + node.callerPort() + "/v1/chat/completions"))
                .header("Authorization", "Bearer regina.demo")
                .POST(HttpRequest.BodyPublishers.ofString(body.encode()))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    @Override
    public void close() {
        node.halt().await();
        vertx.close().await();
    }
}
