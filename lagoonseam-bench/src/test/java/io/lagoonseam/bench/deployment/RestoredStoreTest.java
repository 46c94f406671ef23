package io.lagoonseam.bench.deployment;

import static org.testng.Assert.assertEquals;

import io.lagoonseam.standin.operator.PlatformFixtures;
import io.lagoonseam.standin.worker.WorkerOptions;
import io.lagoonseam.standin.worker.WorkerStandIn;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests nodes whose store is restored from a copy, has lost its latest changes and gives out revisions again. */
public class RestoredStoreTest {

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

    private void takeCopy() {
        deployment.runInStore(() -> {});
        deployment.store().setFaults(new JsonObject().put("takeCopy", true));
        deployment.runInStore(() -> {});
    }

    private void restoreCopy() {
        deployment.store().setFaults(new JsonObject().put("restoreCopy", true));
        LocalDeployment.awaitThat("each node notices the era", () -> logged("\"event\":711") >= 1);
    }

    private long logged(String text) {
        return events.stream().filter(event -> event.contains(text)).count();
    }

    private String answer(LocalDeployment.Node from, String path) {
        try {
            return deployment.send(deployment.request(from, path, "r").build()).body();
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private int status(LocalDeployment.Node from, String path) {
        try {
            return deployment.send(deployment.request(from, path, "r").build()).statusCode();
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static JsonObject route(String name) {
        return PlatformFixtures.routes(LocalDeployment.HOST).stream()
                .filter(candidate -> candidate.getString("path_prefix").equals("/read/"))
                .findFirst()
                .orElseThrow()
                .copy()
                .put("name", name)
                .put("path_prefix", "/" + name + "/");
    }

    /** A node that starts after the restore finds only the older configuration in the store. */
    @Test
    public void aConfigurationAcceptedJustBeforeStaysInForceAndReachesNodesThatNeverSawIt() {
        takeCopy();
        deployment.configure(route("late"));
        LocalDeployment.awaitThat("the new route is in force", () -> status(node, "/late/x") == 200);
        restoreCopy();
        assertEquals(status(node, "/late/x"), 200);
        LocalDeployment.Node second = deployment.startNode(8, List.of(LocalDeployment.peerHost(0)));
        deployment.awaitReady(second);
        LocalDeployment.awaitThat("the other node hears of it", () -> status(second, "/late/x") == 200);
        assertEquals(status(node, "/late/x"), 200);
        deployment.configure(route("later"));
        LocalDeployment.awaitThat(
                "a newer configuration replaces it at both nodes",
                () -> status(node, "/later/x") == 200 && status(second, "/later/x") == 200);
        assertEquals(status(node, "/late/x"), 404);
    }

    @Test
    public void aWorkerDrainedJustBeforeGetsNothingThoughTheCopyCallsItReady() {
        deployment.startWorker("app", WorkerOptions.plain("p2"));
        LocalDeployment.awaitThat(
                "the second worker is known", () -> answer(node, "/read/x").startsWith("p2"));
        takeCopy();
        deployment.register("app", "p1", first.port(), 6, "draining");
        LocalDeployment.awaitThat("the node knows", () -> logged("\"event\":702") >= 1);
        restoreCopy();
        int runs = first.recordedRequests().size();
        for (int index = 0; index < 30; index++) {
            answer(node, "/read/x");
        }
        assertEquals(first.recordedRequests().size(), runs);
    }

    @Test
    public void aWorkerThatTheCopyLacksIsKeptUntilItHasWrittenAgain() {
        takeCopy();
        WorkerStandIn late = deployment.startWorker("app", WorkerOptions.plain("p2"));
        LocalDeployment.awaitThat(
                "the second worker is known", () -> answer(node, "/read/x").startsWith("p2"));
        restoreCopy();
        LocalDeployment.awaitThat(
                "it still serves", () -> answer(node, "/read/x").startsWith("p2"));
        deployment.register("app", "p2", late.port(), 6, "ready");
        deployment.runInStore(() -> deployment.store().remove("servers", "p1"));
        LocalDeployment.awaitThat(
                "the other one is gone", () -> answer(node, "/read/x").startsWith("p2"));
        for (int index = 0; index < 10; index++) {
            assertEquals(answer(node, "/read/x"), "p2 ran r");
        }
    }

    /** The change after the restore has the revision that a change before it had, with another content. */
    @Test
    public void aChangeWithARevisionGivenOutTwiceIsNotMissed() {
        takeCopy();
        WorkerStandIn lost = deployment.startWorker("app", WorkerOptions.plain("p2"));
        LocalDeployment.awaitThat(
                "the second worker is known", () -> answer(node, "/read/x").startsWith("p2"));
        deployment.runInStore(() -> {
            deployment.store().setFaults(new JsonObject().put("restoreCopy", true));
        });
        deployment.register("app", "p3", lost.port(), 6, "ready");
        WorkerStandIn third = deployment.startWorker("app", WorkerOptions.plain("p4"));
        LocalDeployment.awaitThat(
                "the new worker is known", () -> answer(node, "/read/x").startsWith("p4"));
        assertEquals(third.recordedRequests().isEmpty(), false);
    }

    @Test
    public void anEraThatCannotBeReadIsIgnored() {
        deployment.store().setFaults(new JsonObject().put("eraHeader", "new"));
        deployment.configure(route("late"));
        LocalDeployment.awaitThat("the new route is in force", () -> status(node, "/late/x") == 200);
        LocalDeployment.awaitThat("it is logged", () -> logged("\"event\":712") >= 1);
        assertEquals(logged("\"event\":712"), 1);
    }
}
