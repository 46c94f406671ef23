package io.lagoonseam.bench.deployment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.standin.worker.WorkerOptions;
import io.lagoonseam.standin.worker.WorkerStandIn;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what nodes do when a worker announces in an answer that it is leaving or wants a pause. */
public class WorkerAnnouncementsTest {

    private final Queue<String> events = new ConcurrentLinkedQueue<>();
    private LocalDeployment deployment;
    private LocalDeployment.Node node;
    private WorkerStandIn first;

    @BeforeMethod
    public void start() {
        events.clear();
        deployment = new LocalDeployment(events::add);
        first = deployment.startWorker("app", WorkerOptions.plain("p1"));
        deployment.configure();
        node = deployment.startNode();
        deployment.awaitReady(node);
    }

    @AfterMethod
    public void close() {
        deployment.close();
    }

    private HttpResponse<String> read(LocalDeployment.Node from, String id) throws IOException, InterruptedException {
        return deployment.send(deployment.request(from, "/read/x", id).build());
    }

    private HttpResponse<String> pay(String id) throws IOException, InterruptedException {
        return deployment.send(deployment
                .request(node, "/pay/x", id)
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build());
    }

    private long arrivals(WorkerStandIn worker) {
        return worker.arrivals();
    }

    private boolean logged(String text) {
        return events.stream().anyMatch(event -> event.contains(text));
    }

    /** The record of the worker still calls it ready, and a second node hears of it from the first. */
    @Test
    public void aWorkerThatAnnouncesItsLeavingGetsNothingMoreFromAnyNode() throws Exception {
        LocalDeployment.Node second = deployment.startNode(8, List.of(LocalDeployment.peerHost(0)));
        deployment.awaitReady(second);
        first.setFaults(new JsonObject().put("leaving", true));
        LocalDeployment.awaitThat(
                "an answer carries the announcement", () -> answeredBy(node, "p1") || leavingLogs() > 0);
        LocalDeployment.awaitThat("the announcement is logged", () -> leavingLogs() >= 1);
        LocalDeployment.awaitThat("the second node hears of it", () -> leavingLogs() >= 2);
        deployment.register("app", "p1", first.port(), 6, "ready");
        WorkerStandIn other = deployment.startWorker("app", WorkerOptions.plain("p2"));
        LocalDeployment.awaitThat(
                "the other worker is known", () -> answeredBy(node, "p2") && answeredBy(second, "p2"));
        long before = arrivals(first);
        for (int index = 0; index < 20; index++) {
            assertEquals(read(index % 2 == 0 ? node : second, "b" + index).statusCode(), 200);
        }
        assertEquals(arrivals(first), before);
        assertTrue(arrivals(other) >= 20);
    }

    private long leavingLogs() {
        return events.stream()
                .filter(event -> event.contains("\"event\":702") && event.contains("p1"))
                .count();
    }

    private boolean answeredBy(LocalDeployment.Node from, String worker) {
        try {
            return read(from, "c").body().startsWith(worker);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    public void aPausedWorkerGetsNothingAndCallersComeBackAfterThePause() throws Exception {
        first.setFaults(new JsonObject().put("pauseSeconds", "1.5"));
        long beganNanos = System.nanoTime();
        HttpResponse<String> refused = pay("r1");
        assertEquals(refused.statusCode(), 503);
        double retrySeconds =
                Double.parseDouble(refused.headers().firstValue("Retry-After").orElse("0"));
        assertTrue(retrySeconds > 1, "Retry-After within a pause of 1.5 s: " + retrySeconds);
        first.setFaults(new JsonObject().put("pauseSeconds", ""));
        long arrived = arrivals(first);
        assertEquals(arrived, 1);
        while (System.nanoTime() - beganNanos < 1_200_000_000L) {
            assertEquals(pay("r2").statusCode(), 503);
            assertEquals(arrivals(first), arrived);
        }
        LocalDeployment.awaitThat("the worker serves after the pause", () -> {
            try {
                return pay("r3").statusCode() == 200;
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        assertFalse(logged("\"event\":433"), "a pause is no failure of the worker");
    }

    @Test
    public void aPauseThatCannotBeReadIsIgnored() throws Exception {
        first.setFaults(new JsonObject().put("pauseSeconds", "soon"));
        assertEquals(pay("r1").statusCode(), 503);
        first.setFaults(new JsonObject().put("pauseSeconds", ""));
        LocalDeployment.awaitThat("the fault has ended", () -> {
            try {
                return pay("r2").statusCode() == 200;
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        LocalDeployment.awaitThat("it is logged", () -> logged("\"event\":422"));
    }
}
