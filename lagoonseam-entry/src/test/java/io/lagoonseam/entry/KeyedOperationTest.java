package io.lagoonseam.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;

import io.lagoonseam.core.audit.NoopEventSink;
import io.lagoonseam.entry.configuration.ConfigurationStore;
import io.lagoonseam.entry.configuration.KeyHash;
import io.lagoonseam.entry.configuration.SourceFile;
import io.lagoonseam.entry.platform.PlatformClient;
import io.lagoonseam.entry.settings.EntrySettings;
import io.lagoonseam.standin.plain.PlainServiceStandIn;
import io.lagoonseam.standin.platform.PlatformStandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks keyed operations through two nodes in two data centres, with a fault at each stage of a request. */
public final class KeyedOperationTest {

    private static final String SALT = "00112233445566778899aabbccddeeff";

    private final HttpClient client = HttpClient.newHttpClient();
    private final List<EntryNode> nodes = new ArrayList<>();
    private Vertx vertx;
    private PlatformStandIn platform;
    private PlainServiceStandIn plain;

    @BeforeMethod
    public void start() throws Exception {
        vertx = Vertx.vertx();
        platform = new PlatformStandIn("127.0.0.1", 0, 1);
        plain = new PlainServiceStandIn("127.0.0.1", 0, 1);
        vertx.deployVerticle(platform).await();
        vertx.deployVerticle(plain).await();
        ConfigurationStore store = new ConfigurationStore(new PlatformClient(vertx, platform.url()));
        List<SourceFile> files = List.of(new SourceFile("all.yaml", fileSet(plain.port())));
        Future.fromCompletionStage(store.apply(files, "ann", "test", 1)).await();
        for (String name : List.of("a", "b")) {
            EntryNode node = new EntryNode(
                    vertx,
                    EntrySettings.builder("entry-" + name, "prairie-" + name, platform.url())
                            .build(),
                    new NoopEventSink());
            node.start().await();
            nodes.add(node);
        }
        while (!nodes.stream().allMatch(EntryNode::isReady)) {
            Thread.sleep(5);
        }
    }

    @AfterMethod
    public void stop() {
        nodes.forEach(node -> assertEquals(node.invariants().totalViolations(), 0));
        nodes.forEach(node -> node.halt().await());
        nodes.clear();
        vertx.close().await();
    }

    private static String fileSet(int plainPort) {
        return """
                kind: ServiceLevel
                name: level
                firstTokenMillis: 5000
                betweenTokensMillis: 1000
                deadlineMillis: 10000
                longestWaitMillis: 10000
                weight: 10
                queueCapacity: 100
                ---
                {kind: Service, name: studio-app, type: plain, statusPath: /actions, silenceMillis: 2000}
                ---
                kind: RequestClass
                name: deposit
                service: studio-app
                serviceLevel: level
                tier: urgent
                idempotent: false
                ---
                {kind: Workspace, name: regina, classes: [deposit]}
                ---
                {kind: Upstream, name: p1, service: studio-app, host: 127.0.0.1, port: %d, dataCentre: a, concurrency: 8}
                ---
                {kind: Key, name: regina, workspace: regina, saltHex: "%s", hashHex: "%s"}
                """.formatted(plainPort, SALT, KeyHash.hash(SALT, "demo"));
    }

    private HttpResponse<String> post(EntryNode node, String key) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + node.callerPort() + "/services/studio-app/deposits"))
                .header("Authorization", "Bearer regina.demo")
                .header("Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString("{\"cents\":500}"))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private void injectFaults(String url, JsonObject faults) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create(url + "/faults"))
                .POST(HttpRequest.BodyPublishers.ofString(faults.encode()))
                .build();
        client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private int timesRun(String key) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create(plain.url() + "/actions/" + key))
                .build();
        return new JsonObject(client.send(request, HttpResponse.BodyHandlers.ofString())
                        .body())
                .getInteger("times");
    }

    private static String verdict(HttpResponse<String> response) {
        return new JsonObject(response.body()).getJsonObject("error").getString("verdict");
    }

    @Test
    public void answersDuplicateThroughAnotherNode() throws Exception {
        for (int round = 0; round < 6; round++) {
            String key = "k" + round;
            HttpResponse<String> first = post(nodes.get(round % 2), key);
            HttpResponse<String> second = post(nodes.get((round + 1) % 2), key);
            assertEquals(first.statusCode(), 200, first.body());
            assertEquals(second.body(), first.body());
            assertEquals(timesRun(key), 1);
        }
    }

    @Test
    public void answersDuplicateAfterTheOwnerWasKilled() throws Exception {
        HttpResponse<String> first = post(nodes.get(0), "k");
        nodes.remove(0).halt().await();
        HttpResponse<String> second = post(nodes.get(0), "k");
        assertEquals(second.body(), first.body());
        assertEquals(timesRun("k"), 1);
    }

    @Test
    public void reportsRanWhenUpstreamStatusConfirmsLostAnswer() throws Exception {
        injectFaults(plain.url(), new JsonObject().put("dropAfterShare", 1.0));
        HttpResponse<String> first = post(nodes.get(0), "k");
        assertEquals(verdict(first), "may_have_run");
        HttpResponse<String> second = post(nodes.get(1), "k");
        assertEquals(verdict(second), "ran");
        assertEquals(timesRun("k"), 1);
    }

    @Test
    public void reportsMayHaveRunWhenTheRequestWasLost() throws Exception {
        injectFaults(plain.url(), new JsonObject().put("dropBeforeShare", 1.0));
        assertEquals(verdict(post(nodes.get(0), "k")), "may_have_run");
        injectFaults(plain.url(), new JsonObject().put("dropBeforeShare", 0.0));
        HttpResponse<String> second = post(nodes.get(1), "k");
        assertEquals(second.statusCode(), 409);
        assertEquals(verdict(second), "may_have_run");
        assertEquals(timesRun("k"), 0);
    }

    @Test
    public void reportsMayHaveRunAfterServerError() throws Exception {
        injectFaults(plain.url(), new JsonObject().put("errorShare", 1.0));
        assertEquals(post(nodes.get(0), "k").statusCode(), 500);
        injectFaults(plain.url(), new JsonObject().put("errorShare", 0.0));
        assertEquals(verdict(post(nodes.get(0), "k")), "may_have_run");
    }

    @Test
    public void refusesNewKeysAndReplaysWhileThePlatformIsDown() throws Exception {
        HttpResponse<String> first = post(nodes.get(0), "k");
        injectFaults(platform.url(), new JsonObject().put("outage", true));
        HttpResponse<String> replayed = post(nodes.get(0), "k");
        assertEquals(replayed.body(), first.body());
        HttpResponse<String> refused = post(nodes.get(0), "new");
        assertEquals(refused.statusCode(), 503);
        assertEquals(verdict(refused), "not_run");
        assertNotNull(refused.headers().firstValue("Retry-After").orElse(null));
        assertEquals(timesRun("new"), 0);
    }

    @Test
    public void answersOnlyKeysThatRanWhenThePlatformLosesHalfItsAnswers() throws Exception {
        injectFaults(platform.url(), new JsonObject().put("loseAnswersShare", 0.5));
        int answered = 0;
        for (int round = 0; round < 10; round++) {
            HttpResponse<String> response = post(nodes.get(round % 2), "k" + round);
            answered += response.statusCode() == 200 ? 1 : 0;
            assertEquals(timesRun("k" + round), response.statusCode() == 200 ? 1 : 0, response.body());
        }
        assertEquals(answered > 0, true);
    }
}
