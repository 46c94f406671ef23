package io.lagoonseam.bench.deployment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.standin.operator.PlatformFixtures;
import io.lagoonseam.standin.worker.WorkerOptions;
import io.lagoonseam.standin.worker.WorkerStandIn;
import io.vertx.core.json.JsonObject;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that all nodes together keep to the rate limits that workers name in their answers. */
public class WorkerRateLimitTest {

    private static final long WINDOW_MILLIS = 4_000;

    /** The time after which a limit binds, in milliseconds. */
    private static final long BINDING_MILLIS = 3_000;

    private static final long LOAD_MILLIS = 14_000;
    private static final long REQUEST_INTERVAL_MILLIS = 12;

    private final Queue<String> events = new ConcurrentLinkedQueue<>();
    private LocalDeployment deployment;

    @AfterMethod
    public void close() {
        deployment.close();
    }

    @DataProvider
    public Object[][] nodeCounts() {
        return new Object[][] {{1}, {8}, {11}};
    }

    @Test(dataProvider = "nodeCounts")
    public void theSumOverAllNodesStaysBelowTheLimitOfAWorker(int nodeCount) throws Exception {
        events.clear();
        deployment = new LocalDeployment(events::add);
        WorkerStandIn plain = deployment.startWorker("app", WorkerOptions.plain("p1"));
        deployment.startWorker("app", WorkerOptions.plain("p2"));
        WorkerStandIn engine = deployment.startWorker("llm", WorkerOptions.engine("e1"));
        deployment.startWorker("llm", WorkerOptions.engine("e2"));
        deployment.configure();
        List<LocalDeployment.Node> nodes = startNodes(nodeCount);
        plain.setFaults(new JsonObject().put("limitPerSecond", "0.5"));
        engine.setFaults(new JsonObject().put("limitPerSecond", "2"));
        long namedMillis = nowMillis();
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int number = 0; nowMillis() < namedMillis + LOAD_MILLIS; number++) {
            answers.add(send(nodes.get(number % nodeCount), number));
            Thread.sleep(REQUEST_INTERVAL_MILLIS);
        }
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            assertEquals(answer.join().statusCode(), 200);
        }
        assertWithinLimit(plain, 0.5, namedMillis + BINDING_MILLIS);
        assertWithinLimit(engine, 2, namedMillis + BINDING_MILLIS);
    }

    /** No other worker can take the rest, which has to be refused without having run. */
    @Test
    public void aServiceWhoseOnlyWorkerHasALimitServesUpToItAndRefusesTheRest() throws Exception {
        double limit = 3;
        deployment = new LocalDeployment(events::add);
        WorkerStandIn worker = deployment.startWorker("app", WorkerOptions.plain("p1"));
        deployment.configure();
        List<LocalDeployment.Node> nodes = startNodes(8);
        worker.setFaults(new JsonObject().put("limitPerSecond", Double.toString(limit)));
        long namedMillis = nowMillis();
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int number = 1; nowMillis() < namedMillis + LOAD_MILLIS; number += 3) {
            answers.add(send(nodes.get(number % nodes.size()), number + number % 2));
            Thread.sleep(4 * REQUEST_INTERVAL_MILLIS);
        }
        long served = 0;
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            int status = answer.join().statusCode();
            assertTrue(status == 200 || status == 503, "status " + status);
            assertTrue(
                    status == 200
                            || answer.join().headers().firstValue("Retry-After").isPresent(),
                    "a refusal says when to come back");
            served += status == 200 ? 1 : 0;
        }
        assertEquals(worker.recordedRequests().size(), served, "what was refused has not run");
        assertWithinLimit(worker, limit, namedMillis + BINDING_MILLIS);
        long lastMillis = namedMillis + LOAD_MILLIS;
        long late = worker.arrivalRecords().stream()
                .map(WorkerStandIn.Arrival::atMillis)
                .filter(arrival -> arrival >= lastMillis - WINDOW_MILLIS && arrival < lastMillis)
                .count();
        assertTrue(late >= 0.6 * limit * TimeUnit.MILLISECONDS.toSeconds(WINDOW_MILLIS), late + " requests in 4 s");
    }

    private List<LocalDeployment.Node> startNodes(int count) {
        List<LocalDeployment.Node> nodes = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            nodes.add(deployment.startNode(8, index == 0 ? List.of() : List.of(LocalDeployment.peerHost(0))));
        }
        nodes.forEach(deployment::awaitReady);
        return nodes;
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private CompletableFuture<HttpResponse<String>> send(LocalDeployment.Node node, int number) {
        String id = "n" + number;
        HttpRequest request;
        if (number % 3 == 0) {
            HttpRequest.Builder stream = deployment.request(node, "/talk/x", id);
            PlatformFixtures.promptHeaders("a" + number % 7, "b" + number, 8).forEach(stream::header);
            request = stream.build();
        } else if (number % 3 == 1) {
            request = deployment.request(node, "/read/x", id).build();
        } else {
            request = deployment
                    .request(node, "/pay/x", id)
                    .POST(HttpRequest.BodyPublishers.ofString("{}"))
                    .build();
        }
        return deployment.client().sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private static void assertWithinLimit(WorkerStandIn worker, double perSecond, long fromMillis) {
        List<Long> arrivals = worker.arrivalRecords().stream()
                .map(WorkerStandIn.Arrival::atMillis)
                .filter(arrival -> arrival >= fromMillis)
                .toList();
        long allowed = (long) (1.5 * perSecond * TimeUnit.MILLISECONDS.toSeconds(WINDOW_MILLIS) + 5);
        for (long begin : arrivals) {
            long received = arrivals.stream()
                    .filter(arrival -> arrival >= begin && arrival < begin + WINDOW_MILLIS)
                    .count();
            assertTrue(received <= allowed, received + " requests in 4 s, allowed " + allowed);
        }
    }
}
