package io.lagoonseam.bench.deployment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.standin.operator.PlatformFixtures;
import io.lagoonseam.standin.worker.WorkerOptions;
import io.lagoonseam.standin.worker.WorkerStandIn;
import io.vertx.core.json.JsonObject;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** End-to-end tests of a node with a stand-in store and stand-in workers. */
public class NodeTest {

    private LocalDeployment deployment;
    private LocalDeployment.Node node;
    private WorkerStandIn plain;
    private WorkerStandIn engine;

    @BeforeMethod
    public void start() {
        deployment = new LocalDeployment(event -> {});
        plain = deployment.startWorker("app", WorkerOptions.plain("p1"));
        engine = deployment.startWorker("llm", WorkerOptions.engine("e1"));
        deployment.configure();
        node = deployment.startNode();
        deployment.awaitReady(node);
    }

    @AfterMethod
    public void close() {
        deployment.close();
    }

    @Test
    public void plainRequestReachesWorkerWithoutForgedHeaders() throws Exception {
        HttpResponse<String> answer = deployment.send(deployment
                .request(node, "/pay/deposit?a=1%20b", "r1")
                .header("X-Expect-Instance", "forged")
                .header("X-Tenant", "forged")
                .header("Kv-From", "forged")
                .header("X-Other", "kept")
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build());
        assertEquals(answer.statusCode(), 200);
        assertEquals(answer.body(), "p1 ran r1");
        assertEquals(answer.headers().firstValue("X-Response-Seal").orElse(""), "p1.r1");
        JsonObject ran = plain.recordedRequests().get(0);
        assertEquals(ran.getString("uri"), "/pay/deposit?a=1%20b");
        JsonObject headers = ran.getJsonObject("headers");
        assertEquals(headers.getString("x-expect-instance"), "p1");
        assertEquals(headers.getString("x-tenant"), "studio");
        assertEquals(headers.getString("x-other"), "kept");
        assertFalse(headers.containsKey("kv-from"));
        assertFalse(headers.containsKey("api-key"));
        long deadlineMillis = Long.parseLong(headers.getString("x-deadline-ms"));
        assertTrue(
                deadlineMillis > 0 && deadlineMillis <= 1_500,
                "deadline must be positive and at most the route timeout of 1,500 ms: " + deadlineMillis);
    }

    @Test
    public void streamArrivesComplete() throws Exception {
        HttpResponse<String> answer = deployment.send(deployment
                .request(node, "/chat/x", "s1")
                .header("X-Token-Counts", "30,40")
                .header("X-Prompt-Prefix", "a1:20,b2:10")
                .POST(HttpRequest.BodyPublishers.ofString("hello"))
                .build());
        assertEquals(answer.statusCode(), 200);
        assertTrue(answer.body().startsWith("id: 1\ndata: token 1 of s1\n\nid: 2\n"), answer.body());
        assertTrue(answer.body().endsWith("id: 10\ndata: token 10 of s1\n\n"), answer.body());
    }

    @Test
    public void brokenStreamIsResumedAtAnotherWorker() throws Exception {
        deployment.startWorker("llm", WorkerOptions.engine("e2"));
        engine.setFaults(new JsonObject().put("breakAfterEvents", 3));
        for (int index = 0; index < 8; index++) {
            HttpResponse<String> answer = deployment.send(deployment
                    .request(node, "/talk/x", "t" + index)
                    .header("X-Token-Counts", "30,40")
                    .header("X-Prompt-Prefix", "p" + index + ":20,b2:10")
                    .POST(HttpRequest.BodyPublishers.ofString("hello"))
                    .build());
            StringBuilder expected = new StringBuilder();
            for (int event = 1; event <= 10; event++) {
                expected.append("id: ").append(event).append("\ndata: token ").append(event);
                expected.append(" of t").append(index).append("\n\n");
            }
            assertEquals(answer.body(), expected.toString());
        }
    }

    @Test
    public void refusedRequestsGetMatchingStatusAndDoNotRun() throws Exception {
        assertEquals(
                deployment
                        .send(deployment.request(node, "/none/x", "n1").build())
                        .statusCode(),
                404);
        HttpRequest wrongKey = HttpRequest.newBuilder(node.uri("/read/x"))
                .header("Api-Key", "wrong")
                .build();
        assertEquals(deployment.send(wrongKey).statusCode(), 401);
        HttpRequest oversized = deployment
                .request(node, "/pay/x", "n2")
                .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[100_001]))
                .build();
        assertEquals(deployment.send(oversized).statusCode(), 413);
        assertTrue(plain.recordedRequests().isEmpty(), "refused requests must not reach a worker");
    }

    @Test
    public void requestWithoutAvailableWorkerGetsRetryAfter() throws Exception {
        deployment.runInStore(() -> deployment.store().remove("servers", "p1"));
        LocalDeployment.awaitThat("requests are refused with status 503 and Retry-After", () -> {
            try {
                HttpResponse<String> answer = deployment.send(deployment
                        .request(node, "/pay/x", "w1")
                        .POST(HttpRequest.BodyPublishers.ofString("{}"))
                        .build());
                return answer.statusCode() == 503
                        && Double.parseDouble(answer.headers()
                                        .firstValue("Retry-After")
                                        .orElse("0"))
                                > 0;
            } catch (java.io.IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    @Test
    public void nonIdempotentRequestWithLostAnswerIsNotRetried() throws Exception {
        plain.setFaults(new JsonObject().put("loseAnswerShare", 1.0));
        HttpResponse<String> answer = deployment.send(deployment
                .request(node, "/pay/x", "l1")
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build());
        assertEquals(answer.statusCode(), 502);
        assertEquals(plain.recordedRequests().size(), 1);
    }

    @Test
    public void idempotentRequestWithLostAnswerIsRetriedAtAnotherWorker() throws Exception {
        deployment.startWorker("app", WorkerOptions.plain("p2"));
        plain.setFaults(new JsonObject().put("loseAnswerShare", 1.0));
        for (int index = 0; index < 6; index++) {
            assertEquals(
                    deployment
                            .send(deployment
                                    .request(node, "/read/x", "i" + index)
                                    .build())
                            .statusCode(),
                    200);
        }
    }

    @Test
    public void newerConfigurationIsAppliedAndOlderOneIsIgnored() throws Exception {
        deployment.configure(PlatformFixtures.route(LocalDeployment.HOST, "extra", "/extra/", "safe", "app", 1_000));
        LocalDeployment.awaitThat("the new route is in force", () -> {
            try {
                return deployment
                                .send(deployment.request(node, "/extra/x", "c1").build())
                                .statusCode()
                        == 200;
            } catch (java.io.IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        JsonObject old = new JsonObject().put("version", 1).put("routes", new io.vertx.core.json.JsonArray());
        deployment.runInStore(() -> deployment.store().put("config", "main", old));
        Thread.sleep(200);
        assertEquals(
                deployment
                        .send(deployment.request(node, "/extra/x", "c2").build())
                        .statusCode(),
                200);
    }

    @Test
    public void gracefulShutdownCompletesRequestsInFlight() throws Exception {
        var running = deployment
                .client()
                .sendAsync(
                        deployment
                                .request(node, "/chat/x", "q1")
                                .header("X-Token-Counts", "30,800")
                                .POST(HttpRequest.BodyPublishers.ofString("hello"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        Thread.sleep(200);
        var nodeContext = node.vertx().getOrCreateContext();
        nodeContext.runOnContext(nothing -> node.node().stop());
        LocalDeployment.awaitThat(
                "the node is no longer ready", () -> node.readinessStatus(deployment.client()) == 503);
        String body = running.get().body();
        assertTrue(
                body.endsWith("id: 200\ndata: token 200 of q1\n\n"), body.substring(Math.max(0, body.length() - 60)));
    }

    @Test
    public void nodeStartedWithUnresponsiveStoreIsReadySoonAfterItRecovers() {
        deployment.store().setFaults(new JsonObject().put("silent", true));
        LocalDeployment.Node second = deployment.startNode(8, List.of());
        try {
            Thread.sleep(1_500);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        assertEquals(second.readinessStatus(deployment.client()), 503);
        deployment.store().setFaults(new JsonObject().put("silent", false));
        long recoveredNanos = System.nanoTime();
        deployment.awaitReady(second);
        long millis = java.util.concurrent.TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - recoveredNanos);
        // a call without an answer times out after 1,200 ms; the node must not wait for that time-out
        assertTrue(millis < 900, "ready after " + millis + " ms");
    }

    @Test
    public void nodeWithUnresponsiveStoreCopiesStateFromAnotherNode() throws Exception {
        deployment.store().setFaults(new JsonObject().put("silent", true));
        LocalDeployment.Node second = deployment.startNode(8, List.of(LocalDeployment.peerHost(0)));
        deployment.awaitReady(second);
        HttpResponse<String> answer = deployment.send(deployment
                .request(second, "/pay/x", "k1")
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build());
        assertEquals(answer.body(), "p1 ran k1");
    }

    @Test
    public void leavingWorkerGetsNoNewRequests() throws Exception {
        deployment.startWorker("app", WorkerOptions.plain("p2"));
        deployment.register("app", "p1", plain.port(), 6, "draining");
        int runsBeforeUpdate = plain.recordedRequests().size();
        LocalDeployment.awaitThat("new requests go to the worker that is not leaving", () -> {
            try {
                return deployment
                        .send(deployment.request(node, "/read/x", "d").build())
                        .body()
                        .startsWith("p2");
            } catch (java.io.IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        int runsAfterUpdate = plain.recordedRequests().size();
        for (int index = 0; index < 20; index++) {
            deployment.send(deployment.request(node, "/read/x", "d" + index).build());
        }
        assertEquals(plain.recordedRequests().size(), runsAfterUpdate);
        assertTrue(
                runsAfterUpdate - runsBeforeUpdate <= 1,
                "requests to the leaving worker before the node knew its state, expected at most 1: "
                        + (runsAfterUpdate - runsBeforeUpdate));
    }

    @Test
    public void headerSectionOverConfiguredLimitIsRejected() throws Exception {
        String value7000 = "x".repeat(7_000);
        assertEquals(
                deployment
                        .send(deployment
                                .request(node, "/read/x", "h1")
                                .header("X-Long", value7000)
                                .build())
                        .statusCode(),
                200);
        assertEquals(
                deployment
                        .send(deployment
                                .request(node, "/read/x", "h2")
                                .header("X-Long", value7000)
                                .header("X-Longer", "y".repeat(1_500))
                                .build())
                        .statusCode(),
                431);
        assertEquals(plain.recordedRequests().size(), 1);
    }

    @Test
    public void malformedRecordsAreSkipped() throws Exception {
        deployment.runInStore(() -> {
            deployment.store().put("servers", "broken-1", "no object");
            deployment.store().put("servers", "broken-2", new JsonObject().put("service", 7));
            deployment.store().put("config", "main", new JsonObject().put("version", "x"));
        });
        Thread.sleep(100);
        assertEquals(
                deployment
                        .send(deployment.request(node, "/read/x", "b1").build())
                        .statusCode(),
                200);
    }
}
