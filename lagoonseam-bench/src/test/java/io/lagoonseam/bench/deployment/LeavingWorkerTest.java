package io.lagoonseam.bench.deployment;

import static org.testng.Assert.assertTrue;

import io.lagoonseam.standin.worker.WorkerOptions;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that nodes tell workers that have left from those whose records have expired while the store was away. */
public class LeavingWorkerTest {

    /** Within this time after a removal no node may use the worker any more, in milliseconds. */
    private static final long DRAIN_MILLIS = 2_000;

    private static final int WORKERS = 8;

    private LocalDeployment deployment;

    @BeforeMethod
    public void start() {
        deployment = new LocalDeployment(event -> {});
        for (int worker = 0; worker < WORKERS; worker++) {
            deployment.startWorker("app", WorkerOptions.plain("w" + worker));
        }
        deployment.configure();
    }

    @AfterMethod
    public void close() {
        deployment.close();
    }

    private List<LocalDeployment.Node> startNodes(int count) {
        List<LocalDeployment.Node> nodes = new ArrayList<>();
        for (int node = 0; node < count; node++) {
            nodes.add(deployment.startNode());
        }
        nodes.forEach(deployment::awaitReady);
        return nodes;
    }

    private boolean serving(LocalDeployment.Node node, int workers) {
        return node.metrics(deployment.client()).contains("workers.serving " + workers + "\n");
    }

    private void faults(String name) {
        deployment.store().setFaults(new JsonObject().put(name, true));
        deployment.runInStore(() -> {});
    }

    @DataProvider
    public Object[][] cuts() {
        return new Object[][] {{1, 1, 0}, {1, 1, 20}, {8, 1, 1_000}, {8, 1, 20}, {8, 4, 20}};
    }

    /** Guards against a worker that is kept since a watch was cut off before it left (review, case 9). */
    @Test(dataProvider = "cuts")
    public void aWorkerThatLeavesAfterAWatchWasCutOffGetsNoNewWork(int count, int cuts, long afterMillis)
            throws Exception {
        List<LocalDeployment.Node> nodes = startNodes(count);
        for (int cut = 0; cut < cuts; cut++) {
            Thread.sleep(1_100);
            faults("cutWatches");
        }
        Thread.sleep(afterMillis);
        deployment.runInStore(() -> deployment.store().remove("servers", "w0"));
        Thread.sleep(DRAIN_MILLIS - 500);
        for (LocalDeployment.Node node : nodes) {
            assertTrue(serving(node, WORKERS - 1), "the node still uses the worker that has left");
        }
    }

    /** The other side: records that expire in an outage are written again, and their workers are used all the time. */
    @Test
    public void workersWhoseRecordsExpireInAnOutageAreKept() throws Exception {
        List<LocalDeployment.Node> nodes = startNodes(3);
        deployment.store().setFaults(new JsonObject().put("busy", true));
        Thread.sleep(3_000);
        deployment.runInStore(() -> {
            for (int worker = 0; worker < WORKERS; worker++) {
                deployment.store().remove("servers", "w" + worker);
            }
        });
        deployment.store().setFaults(new JsonObject().put("busy", false));
        for (int check = 0; check < 10; check++) {
            Thread.sleep(100);
            for (LocalDeployment.Node node : nodes) {
                assertTrue(serving(node, WORKERS), "a worker is not used, though it lives");
            }
        }
    }
}
