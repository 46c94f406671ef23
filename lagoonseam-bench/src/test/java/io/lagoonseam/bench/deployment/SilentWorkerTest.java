package io.lagoonseam.bench.deployment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.standin.operator.PlatformFixtures;
import io.lagoonseam.standin.worker.WorkerOptions;
import io.lagoonseam.standin.worker.WorkerStandIn;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that work which runs is neither given up nor started again because its worker says nothing for a while. */
public class SilentWorkerTest {

    private LocalDeployment deployment;
    private LocalDeployment.Node node;

    @BeforeMethod
    public void start() {
        deployment = new LocalDeployment(event -> {});
        deployment.configure();
        node = deployment.startNode();
    }

    @AfterMethod
    public void close() {
        deployment.close();
    }

    private void awaitWorkers(int count) {
        deployment.awaitReady(node);
        LocalDeployment.awaitThat(
                count + " workers are known",
                () -> node.metrics(deployment.client()).contains("workers.serving " + count));
    }

    /** The store removes the record of a worker that does not check in for a while, although it runs. */
    @Test
    public void aStreamGoesOnAtAWorkerWhoseRecordDisappears() throws Exception {
        WorkerStandIn first = deployment.startWorker("llm", WorkerOptions.engine("e1"));
        awaitWorkers(1);
        HttpRequest.Builder request = deployment.request(node, "/talk/x", "s1");
        PlatformFixtures.promptHeaders("a", "b", 800).forEach(request::header);
        var running = deployment.client().sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
        LocalDeployment.awaitThat("the stream has begun", () -> first.arrivals() == 1);
        WorkerStandIn other = deployment.startWorker("llm", WorkerOptions.engine("e2"));
        deployment.runInStore(() -> deployment.store().remove("servers", "e1"));
        awaitWorkers(1);
        String body = running.join().body();
        assertTrue(body.endsWith("id: 200\ndata: token 200 of s1\n\n"), body);
        assertEquals(first.arrivals(), 1);
        assertEquals(other.arrivals(), 0);
    }

    /** The worker answers long after the latency objective, and within the timeout of the route. */
    @Test
    public void slowNonIdempotentWorkIsAwaitedAndRunsOnce() throws Exception {
        WorkerOptions slow = new WorkerOptions("p1", 6, 24, 1_200, 0, 0, 0, 0);
        WorkerStandIn first = deployment.startWorker("app", slow);
        awaitWorkers(1);
        var running = deployment
                .client()
                .sendAsync(
                        deployment
                                .request(node, "/pay/x", "p1")
                                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        LocalDeployment.awaitThat("the payment has arrived", () -> first.arrivals() == 1);
        WorkerStandIn other = deployment.startWorker("app", WorkerOptions.plain("p2"));
        assertEquals(running.join().statusCode(), 200);
        assertEquals(first.arrivals(), 1);
        assertEquals(other.arrivals(), 0);
    }
}
