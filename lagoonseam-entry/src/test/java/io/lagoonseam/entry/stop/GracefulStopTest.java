package io.lagoonseam.entry.stop;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.audit.NoopEventSink;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.entry.EntryNode;
import io.lagoonseam.entry.configuration.ConfigurationStore;
import io.lagoonseam.entry.configuration.KeyHash;
import io.lagoonseam.entry.configuration.SourceFile;
import io.lagoonseam.entry.peer.TestCertificates;
import io.lagoonseam.entry.platform.PlatformClient;
import io.lagoonseam.entry.settings.EntrySettings;
import io.lagoonseam.entry.tls.TlsFiles;
import io.lagoonseam.standin.engine.EngineOptions;
import io.lagoonseam.standin.engine.ModelEngineStandIn;
import io.lagoonseam.standin.platform.PlatformStandIn;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.PemTrustOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Checks that a stop finishes or refuses every request, and that leaving upstreams and renewed certificates take
 * effect.
 */
public final class GracefulStopTest {

    private static final String HOST = "127.0.0.1";
    private static final String SALT = "00112233445566778899aabbccddeeff";
    private static final long STEP_MILLIS = 20;
    private static final String BODY =
            "{\"model\":\"care-1\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"why?\"}]}";

    private Vertx vertx;
    private PlatformStandIn platform;
    private HttpClient client;
    private final List<EntryNode> nodes = new ArrayList<>();

    @BeforeMethod
    public void start() {
        vertx = Vertx.vertx();
        client = vertx.createHttpClient();
        platform = new PlatformStandIn(HOST, 0, 1);
        ModelEngineStandIn engine = new ModelEngineStandIn(
                EngineOptions.builder().stepMillis(STEP_MILLIS).build());
        vertx.deployVerticle(platform).await();
        vertx.deployVerticle(engine).await();
        ConfigurationStore store = new ConfigurationStore(new PlatformClient(vertx, platform.url()));
        List<SourceFile> files = List.of(new SourceFile("all.yaml", fileSet(engine.port())));
        Future.fromCompletionStage(store.apply(files, "ann", "test", 1)).await();
    }

    @AfterMethod
    public void stop() {
        nodes.forEach(node -> node.halt().await());
        nodes.clear();
        vertx.close().await();
    }

    private static String fileSet(int port) {
        return """
                kind: ServiceLevel
                name: level
                firstTokenMillis: 20000
                betweenTokensMillis: 20000
                deadlineMillis: 60000
                longestWaitMillis: 60000
                weight: 10
                queueCapacity: 100
                ---
                {kind: Service, name: care-llm, type: model, silenceMillis: 20000}
                ---
                {kind: Model, name: care-1, service: care-llm, version: "1"}
                ---
                {kind: RequestClass, name: aftercare, service: care-llm, serviceLevel: level, tier: urgent, idempotent: true}
                ---
                {kind: Workspace, name: regina, classes: [aftercare]}
                ---
                {kind: Upstream, name: e1, service: care-llm, host: 127.0.0.1, port: %d, dataCentre: a, concurrency: 1}
                ---
                {kind: Key, name: regina, workspace: regina, saltHex: "%s", hashHex: "%s"}
                """.formatted(port, SALT, KeyHash.hash(SALT, "demo"));
    }

    private EntryNode startNode(String nodeId, UnaryOperator<EntrySettings.Builder> change) {
        EntrySettings.Builder builder = EntrySettings.builder(nodeId, "a", platform.url());
        EntryNode node =
                new EntryNode(vertx, change.apply(builder.leaveNoticeMillis(50)).build(), new NoopEventSink());
        node.start().await();
        nodes.add(node);
        awaitTrue(node::isReady);
        return node;
    }

    private static void awaitTrue(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private Future<String> generate(HttpClient from, String url) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setAbsoluteURI(url + "/v1/chat/completions")
                .putHeader("Authorization", "Bearer regina.demo");
        return onEventLoop(() -> from.request(options)
                .compose(request -> request.send(BODY))
                .compose(HttpClientResponse::body)
                .map(Buffer::toString));
    }

    /**
     * Runs a call on an event loop. On the test's own thread the response could end before a handler for its body is
     * set, and the body would then never arrive.
     */
    private <T> Future<T> onEventLoop(Supplier<Future<T>> call) {
        Promise<T> result = Promise.promise();
        vertx.runOnContext(nothing -> call.get().onComplete(result));
        return result.future();
    }

    private Future<String> generate(EntryNode node) {
        return generate(client, "http://" + HOST + ":" + node.callerPort());
    }

    @Test(timeOut = 60_000)
    public void requestsInFlightAndQueuedFinish() {
        EntryNode node = startNode("entry-1", builder -> builder);
        List<Future<String>> answers = List.of(generate(node), generate(node), generate(node));
        awaitTrue(() -> inFlight(node) == 3);
        List<String> steps = new ArrayList<>();
        node.addStopParticipant(() -> {
            steps.add("ready " + node.isReady() + ", live "
                    + node.peers().members().liveMembers().size());
            return CompletableFuture.completedFuture(null);
        });
        nodes.clear();
        node.stop().await();
        for (Future<String> answer : answers) {
            assertTrue(answer.await().endsWith("data: [DONE]\n\n"));
        }
        assertEquals(steps, List.of("ready false, live 0"));
        assertEquals(node.invariants().totalViolations(), 0);
    }

    private int inFlight(EntryNode node) {
        RequestOptions options =
                new RequestOptions().setAbsoluteURI("http://" + HOST + ":" + node.operatorPort() + "/status");
        return onEventLoop(() -> client.request(options)
                        .compose(request -> request.send())
                        .compose(HttpClientResponse::body)
                        .map(body -> new JsonObject(body).getInteger("inFlight")))
                .await();
    }

    @Test(timeOut = 60_000)
    public void requestsInFlightAtTheDeadlineAreRefusedWithTheirVerdict() {
        EntryNode node = startNode("entry-1", builder -> builder.stopDeadlineMillis(1));
        Future<String> running = generate(node);
        awaitTrue(() -> inFlight(node) == 1);
        Future<String> queued = generate(node);
        awaitTrue(() -> inFlight(node) == 2);
        nodes.clear();
        node.stop().await();
        assertRefused(running.await(), "may_have_run");
        assertRefused(queued.await(), "not_run");
        assertEquals(node.invariants().violations(Invariant.STOP_CUTS_NOTHING), 1);
        assertEquals(node.invariants().violations(Invariant.NOT_RUN_IS_TRUE), 0);
    }

    private static void assertRefused(String answer, String verdict) {
        assertTrue(answer.contains("\"event\":105"), answer);
        assertTrue(answer.contains("\"verdict\":\"" + verdict + "\""), answer);
        assertFalse(answer.contains("[DONE]"), answer);
    }

    @Test(timeOut = 60_000)
    public void leavingUpstreamReachesNodesThatDoNotPollTheVmList() {
        for (int number = 1; number <= 4; number++) {
            startNode("entry-" + number, builder -> builder);
        }
        awaitTrue(() -> nodes.stream()
                .allMatch(node -> node.peers().members().liveMembers().size() == 4));
        RequestOptions options =
                new RequestOptions().setMethod(HttpMethod.PUT).setAbsoluteURI(platform.url() + "/vms/e1");
        client.request(options)
                .compose(request ->
                        request.send(new JsonObject().put("state", "leaving").toBuffer()))
                .await();
        awaitTrue(() -> nodes.stream().allMatch(node -> node.leavingUpstreams().contains("e1")));
    }

    @Test(timeOut = 60_000)
    public void renewedCertificateIsUsedForCallers() throws IOException {
        Path folder = Files.createTempDirectory("tls");
        Path renewedFolder = Files.createTempDirectory("tls");
        TlsFiles files = new TestCertificates(folder).issue("caller", "entry-1");
        TlsFiles renewed = new TestCertificates(renewedFolder).issue("caller", "entry-1");
        EntryNode node = startNode(
                "entry-1", builder -> builder.callerTls(new TlsFiles(files.certificateFile(), files.keyFile(), "")));
        String url = "https://" + HOST + ":" + node.callerPort();
        HttpClient before = clientTrusting(files);
        HttpClient after = clientTrusting(renewed);
        assertTrue(generate(before, url).await().endsWith("data: [DONE]\n\n"));
        assertFalse(succeeds(after, url));
        Files.copy(Path.of(renewed.keyFile()), Path.of(files.keyFile()), StandardCopyOption.REPLACE_EXISTING);
        Files.copy(
                Path.of(renewed.certificateFile()),
                Path.of(files.certificateFile()),
                StandardCopyOption.REPLACE_EXISTING);
        awaitTrue(() -> succeeds(after, url));
        before.close().await();
        after.close().await();
    }

    private boolean succeeds(HttpClient from, String url) {
        return generate(from, url)
                .transform(answer -> Future.succeededFuture(answer.succeeded()))
                .await();
    }

    private HttpClient clientTrusting(TlsFiles files) {
        return vertx.createHttpClient(new HttpClientOptions()
                .setSsl(true)
                .setTrustOptions(new PemTrustOptions().addCertPath(files.authorityFile())));
    }
}
