package io.lagoonseam.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.bench.fleet.FreePorts;
import io.lagoonseam.bench.soak.NodeProcess;
import io.lagoonseam.standin.operator.PlatformFixtures;
import io.lagoonseam.standin.store.StoreStandIn;
import io.lagoonseam.standin.worker.WorkerOptions;
import io.lagoonseam.standin.worker.WorkerStandIn;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.time.Duration;
import java.util.Collections;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests a node, as a process with the heap of the deployments, beside large entries of other writers. */
public final class ForeignEntriesTest {

    private static final String KEY = "key-1";
    private static final int OK = 200;
    private static final long BETWEEN_ENTRIES_MILLIS = 60;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private Vertx vertx;
    private StoreStandIn store;
    private NodeProcess node;

    @BeforeMethod
    public void start() throws Exception {
        vertx = Vertx.vertx();
        store = new StoreStandIn(NodeProcess.HOST, 0);
        vertx.deployVerticle(store).await(10, TimeUnit.SECONDS);
        put("config", "main", PlatformFixtures.configuration(4, PlatformFixtures.routes(NodeProcess.HOST), KEY));
        node = new NodeProcess(Files.createTempDirectory("lagoonseam-test"), 0, FreePorts.findTwo(), store.port(), 8);
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws Exception {
        node.close();
        vertx.close().await(10, TimeUnit.SECONDS);
    }

    private void inStore(Runnable change) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        store.runOnEventLoop(() -> {
            change.run();
            done.countDown();
        });
        done.await();
    }

    private void put(String kind, String name, Object content) throws InterruptedException {
        inStore(() -> store.put(kind, name, content));
    }

    private String startWorker(String id) throws Exception {
        WorkerStandIn worker = new WorkerStandIn(NodeProcess.HOST, 0, WorkerOptions.plain(id), 1);
        vertx.deployVerticle(worker).await(10, TimeUnit.SECONDS);
        return NodeProcess.HOST + ":" + worker.port();
    }

    private static JsonArray list(int items) {
        return new JsonArray(Collections.nCopies(items, new JsonObject()));
    }

    /** Entries of other writers: how many, and what each holds. */
    private record Foreign(String name, int count, Object content) {

        @Override
        public String toString() {
            return name;
        }
    }

    @DataProvider
    public Object[][] foreignEntries() {
        JsonObject likeAWorker = new JsonObject().put("service", "app").put("state", "ready");
        return new Object[][] {
            {new Foreign("six of a megabyte", 6, list(345_000)), false},
            {new Foreign("eighty of 90 KB", 80, list(30_000)), false},
            {new Foreign("six like a worker", 6, likeAWorker.put("note", list(345_000))), false},
            {new Foreign("eighty of 90 KB at a start", 80, list(30_000)), true},
        };
    }

    private int send(String id) throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://" + NodeProcess.HOST + ":" + node.callerPort() + "/read/x"))
                .timeout(Duration.ofSeconds(5));
        PlatformFixtures.callerHeaders(KEY, id).forEach(request::header);
        return client.send(request.build(), HttpResponse.BodyHandlers.discarding())
                .statusCode();
    }

    private void awaitStatus(String id, int expected) throws Exception {
        long endMillis = System.currentTimeMillis() + 5_000;
        int number = 0;
        int status = send(id + number);
        while (status != expected && System.currentTimeMillis() < endMillis) {
            Thread.sleep(50);
            number++;
            status = send(id + number);
        }
        assertEquals(status, expected, id);
    }

    /** Guards against entries of other writers that take all memory of a node (review, case 8). */
    @Test(dataProvider = "foreignEntries")
    public void aNodeServesAndFollowsItsWorkers(Foreign foreign, boolean before) throws Exception {
        put("servers", "w1", PlatformFixtures.worker("app", startWorker("w1"), 6, "ready"));
        if (!before) {
            node.start();
            node.awaitReady();
        }
        for (int number = 0; number < foreign.count(); number++) {
            put("servers", "odd-" + number, foreign.content());
            Thread.sleep(BETWEEN_ENTRIES_MILLIS);
        }
        if (before) {
            node.start();
            node.awaitReady();
        }
        awaitStatus("known-", OK);
        inStore(() -> store.remove("servers", "w1"));
        awaitStatus("none-", 503);
        // a watch that is cut off has the workers listed anew
        store.setFaults(new JsonObject().put("cutWatches", true));
        put("servers", "w2", PlatformFixtures.worker("app", startWorker("w2"), 6, "ready"));
        awaitStatus("next-", OK);
        assertTrue(node.running() && node.ready());
    }
}
