package io.lagoonseam.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.audit.NoopEventSink;
import io.lagoonseam.entry.configuration.ConfigurationStore;
import io.lagoonseam.entry.configuration.KeyHash;
import io.lagoonseam.entry.configuration.SourceFile;
import io.lagoonseam.entry.platform.PlatformClient;
import io.lagoonseam.entry.settings.EntrySettings;
import io.lagoonseam.standin.engine.AnswerText;
import io.lagoonseam.standin.engine.EngineOptions;
import io.lagoonseam.standin.engine.ModelEngineStandIn;
import io.lagoonseam.standin.plain.PlainServiceStandIn;
import io.lagoonseam.standin.platform.PlatformStandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Checks the answers and refusals of the callers' interface of one node. */
public final class EntryNodeTest {

    private static final String SALT = "00112233445566778899aabbccddeeff";
    private static final String KEY = "regina.demo";
    private static final String PROMPT = "why is my lash twisting?";

    private final HttpClient client = HttpClient.newHttpClient();
    private Vertx vertx;
    private PlainServiceStandIn plain;
    private EntryNode node;

    @BeforeClass
    public void start() throws Exception {
        vertx = Vertx.vertx();
        PlatformStandIn platform = new PlatformStandIn("127.0.0.1", 0, 1);
        ModelEngineStandIn engine =
                new ModelEngineStandIn(EngineOptions.builder().stepMillis(1).build());
        plain = new PlainServiceStandIn("127.0.0.1", 0, 1);
        vertx.deployVerticle(platform).await();
        vertx.deployVerticle(engine).await();
        vertx.deployVerticle(plain).await();
        List<SourceFile> files = List.of(new SourceFile("all.yaml", fileSet(engine.port(), plain.port())));
        ConfigurationStore store = new ConfigurationStore(new PlatformClient(vertx, platform.url()));
        Future.fromCompletionStage(store.apply(files, "ann", "test", 1)).await();
        EntrySettings settings = EntrySettings.builder("entry-1", "prairie-a", platform.url())
                .bodyLimitBytes(2_000)
                .build();
        node = new EntryNode(vertx, settings, new NoopEventSink());
        node.start().await();
        while (!node.isReady()) {
            Thread.sleep(5);
        }
    }

    @AfterClass
    public void stop() {
        node.stop().await();
        vertx.close().await();
    }

    private static String fileSet(int enginePort, int plainPort) {
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
                {kind: Service, name: care-llm, type: model, silenceMillis: 2000}
                ---
                {kind: Service, name: studio-app, type: plain, silenceMillis: 2000}
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
                kind: RequestClass
                name: deposit
                service: studio-app
                serviceLevel: level
                tier: urgent
                idempotent: false
                ---
                {kind: Workspace, name: regina, classes: [aftercare, deposit]}
                ---
                {kind: Upstream, name: e1, service: care-llm, host: 127.0.0.1, port: %d, dataCentre: a, concurrency: 8}
                ---
                {kind: Upstream, name: p1, service: studio-app, host: 127.0.0.1, port: %d, dataCentre: a, concurrency: 8}
                ---
                {kind: Key, name: regina, workspace: regina, saltHex: "%s", hashHex: "%s"}
                """.formatted(enginePort, plainPort, SALT, KeyHash.hash(SALT, "demo"));
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.callerPort() + path))
                .header("Authorization", "Bearer " + KEY);
    }

    private HttpResponse<String> post(HttpRequest.Builder request, String body)
            throws IOException, InterruptedException {
        return client.send(
                request.POST(HttpRequest.BodyPublishers.ofString(body)).build(), HttpResponse.BodyHandlers.ofString());
    }

    private static String chat(boolean stream) {
        return "{\"model\":\"care-1\",\"stream\":" + stream + ",\"messages\":[{\"role\":\"user\",\"content\":\""
                + PROMPT + "\"}]}";
    }

    private static void assertRefusal(HttpResponse<String> response, int status, int event, String verdict) {
        assertEquals(response.statusCode(), status, response.body());
        JsonObject error = new JsonObject(response.body()).getJsonObject("error");
        assertEquals(error.getInteger("event").intValue(), event);
        assertEquals(error.getString("verdict"), verdict);
    }

    @Test
    public void answersWithCompleteJson() throws Exception {
        HttpResponse<String> response = post(request("/v1/chat/completions"), chat(false));
        JsonObject message = new JsonObject(response.body())
                .getJsonArray("choices")
                .getJsonObject(0)
                .getJsonObject("message");
        int tokens = AnswerText.length(PROMPT, Integer.MAX_VALUE);
        assertEquals(message.getString("content"), AnswerText.completeText(PROMPT, tokens));
    }

    @Test
    public void answersAsEventStream() throws Exception {
        HttpResponse<String> response = post(request("/v1/chat/completions"), chat(true));
        assertEquals(response.headers().firstValue("Content-Type").orElse(""), "text/event-stream");
        assertTrue(response.body().endsWith("data: [DONE]\n\n"), response.body());
    }

    @Test
    public void listsModels() throws Exception {
        HttpResponse<String> response =
                client.send(request("/v1/models").GET().build(), HttpResponse.BodyHandlers.ofString());
        assertTrue(response.body().contains("\"id\":\"care-1\""), response.body());
    }

    @Test
    public void replaysAnswerOfKeyedOperation() throws Exception {
        for (int round = 0; round < 2; round++) {
            HttpResponse<String> response = post(
                    request("/services/studio-app/deposits").header("Idempotency-Key", "replayed"), "{\"cents\":500}");
            assertEquals(response.statusCode(), 200, response.body());
        }
        HttpResponse<String> count = client.send(
                HttpRequest.newBuilder(URI.create(plain.url() + "/actions/replayed"))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
        assertEquals(new JsonObject(count.body()).getInteger("times").intValue(), 1);
    }

    @Test
    public void refusesKeyOfAnotherRequest() throws Exception {
        post(request("/services/studio-app/deposits").header("Idempotency-Key", "reused"), "{\"cents\":500}");
        HttpResponse<String> response =
                post(request("/services/studio-app/deposits").header("Idempotency-Key", "reused"), "{\"cents\":900}");
        assertRefusal(response, 422, 502, "not_run");
    }

    @Test
    public void refusesUnknownKey() throws Exception {
        HttpRequest.Builder request = request("/v1/chat/completions").setHeader("Authorization", "Bearer regina.wrong");
        assertRefusal(post(request, chat(false)), 401, 201, "not_run");
    }

    @Test
    public void refusesUnknownModel() throws Exception {
        HttpResponse<String> response =
                post(request("/v1/chat/completions"), chat(false).replace("care-1", "care-9"));
        assertRefusal(response, 404, 204, "not_run");
        assertTrue(response.body().contains("known are care-1"), response.body());
    }

    @Test
    public void refusesUnknownClass() throws Exception {
        HttpRequest.Builder request = request("/v1/chat/completions").header("X-Request-Class", "vip");
        HttpResponse<String> response = post(request, chat(false));
        assertRefusal(response, 404, 205, "not_run");
        assertTrue(response.body().contains("known are aftercare"), response.body());
    }

    @Test
    public void refusesLargeBody() throws Exception {
        String body = chat(false).replace(PROMPT, "x".repeat(3_000));
        assertRefusal(post(request("/v1/chat/completions"), body), 413, 203, "not_run");
    }

    @Test
    public void refusesMalformedJson() throws Exception {
        assertRefusal(post(request("/v1/chat/completions"), "{\"model\":"), 400, 202, "not_run");
    }

    @Test
    public void refusesMalformedDeadline() throws Exception {
        HttpRequest.Builder request = request("/v1/chat/completions").header("X-Deadline-Millis", "soon");
        assertRefusal(post(request, chat(false)), 400, 208, "not_run");
    }
}
