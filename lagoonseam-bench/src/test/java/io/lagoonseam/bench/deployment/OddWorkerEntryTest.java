package io.lagoonseam.bench.deployment;

import static org.testng.Assert.assertEquals;

import io.lagoonseam.standin.operator.PlatformFixtures;
import io.lagoonseam.standin.worker.WorkerOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.math.BigInteger;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that nodes serve their callers while another writer has left odd entries among those of the workers. */
public class OddWorkerEntryTest {

    private LocalDeployment deployment;
    private LocalDeployment.Node node;

    @BeforeMethod
    public void start() {
        deployment = new LocalDeployment(event -> {});
        deployment.configure();
        deployment.startWorker("app", WorkerOptions.plain("p1"));
        node = deployment.startNode();
        deployment.awaitReady(node);
    }

    @AfterMethod
    public void close() {
        deployment.close();
    }

    private static JsonObject entry(String address) {
        return PlatformFixtures.worker("app", address, 64, "ready");
    }

    private static JsonObject nested(int depth) {
        JsonArray value = new JsonArray();
        for (int level = 1; level < depth; level++) {
            value = new JsonArray().add(value);
        }
        return entry("127.0.0.1:1").put("sequence", value);
    }

    private void put(String id, JsonObject entry) {
        deployment.runInStore(() -> deployment.store().put("servers", id, entry));
    }

    private void assertServes(LocalDeployment.Node by, String ids) throws Exception {
        for (int number = 0; number < 12; number++) {
            assertEquals(
                    deployment
                            .send(deployment
                                    .request(by, "/read/x", ids + number)
                                    .build())
                            .statusCode(),
                    200,
                    ids + number);
        }
    }

    /**
     * Guards against a port that no connection can be opened to, and with which requests hung until their deadlines.
     */
    @Test
    public void callersAreServedBesideAnEntryWithAPortOutOfRange() throws Exception {
        for (String port : List.of("70000", "-1", "0", "65536")) {
            for (int number = 0; number < 5; number++) {
                put("odd" + number, entry("127.0.0.1:" + port));
            }
            Thread.sleep(100);
            assertServes(node, "known" + port + "-");
            LocalDeployment.Node started = deployment.startNode();
            deployment.awaitReady(started);
            assertServes(started, "started" + port + "-");
        }
    }

    /** Guards against an entry that makes the list unreadable, so that later changes are not learnt any more. */
    @Test
    public void changesOfWorkersAreFollowedBesideUnreadableEntries() throws Exception {
        put("deep", nested(990));
        put("long", entry("127.0.0.1:1").put("slots", new BigInteger("9".repeat(1_500))));
        put("large", entry("127.0.0.1:1").put("born", new BigInteger("9".repeat(30))));
        Thread.sleep(100);
        assertServes(node, "before-");
        deployment.startWorker("app", WorkerOptions.plain("p2"));
        LocalDeployment.awaitThat(
                "the second worker is used",
                () -> node.metrics(deployment.client()).contains("workers.serving 2"));
        deployment.runInStore(() -> deployment.store().remove("servers", "p1"));
        LocalDeployment.awaitThat(
                "the first worker is not used any more",
                () -> node.metrics(deployment.client()).contains("workers.serving 1"));
        assertServes(node, "after-");
    }
}
