package io.lagoonseam.bench.deployment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.standin.operator.PlatformFixtures;
import io.lagoonseam.standin.worker.WorkerOptions;
import io.lagoonseam.standin.worker.WorkerStandIn;
import io.vertx.core.json.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a stream goes on only at workers of the software version that began it. */
public class SoftwareVersionTest {

    private static final int STREAMS = 24;
    private static final int EVENTS = 10;
    private static final int MAX_TRIES = 5;
    private static final String[] VERSIONS = {"v1", "v1.1"};

    private final List<WorkerStandIn> workers = new ArrayList<>();
    private final List<LocalDeployment.Node> nodes = new ArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private LocalDeployment deployment;

    @BeforeMethod
    public void start() {
        workers.clear();
        nodes.clear();
        deployment = new LocalDeployment(event -> {});
        deployment.configure();
    }

    @AfterMethod
    public void close() {
        deployment.close();
    }

    @AfterClass
    public void endThreads() {
        threads.shutdown();
    }

    /** Whether messages between all nodes, and homes, are needed depends on their number. */
    @DataProvider
    public Object[][] nodeCounts() {
        return new Object[][] {{1}, {8}, {11}};
    }

    private void startNodes(int count) {
        for (int index = 0; index < count; index++) {
            nodes.add(deployment.startNode(8, List.of(LocalDeployment.peerHost(0))));
        }
        nodes.forEach(deployment::awaitReady);
        for (LocalDeployment.Node node : nodes) {
            LocalDeployment.awaitThat(
                    "each node knows the others and the workers",
                    () -> node.metrics(deployment.client()).contains("nodes.alive " + count)
                            && node.metrics(deployment.client()).contains("workers.serving " + workers.size()));
        }
    }

    private void startEngines(long stepMillis, int breakAfterEvents) {
        for (String version : VERSIONS) {
            for (int index = 0; index < 2; index++) {
                WorkerOptions options =
                        new WorkerOptions("e" + index + "-" + version, 32, 32, 0, stepMillis, 4_000, 200_000, 4);
                WorkerStandIn worker = deployment.startWorker("llm", version, options);
                worker.setFaults(new JsonObject()
                        .put("breakAfterEvents", breakAfterEvents)
                        .put("namesItself", true));
                workers.add(worker);
            }
        }
    }

    /** A caller of one stream, which takes it up at other nodes until it is whole or the tries are used up. */
    private final class Caller {
        private final String id;
        private final Random random;
        private final CountDownLatch begun = new CountDownLatch(1);
        private final Set<String> versions = new TreeSet<>();
        private String beganAs = "";
        private String lastEventId = "";
        private int tries;
        private int status;

        Caller(String id) {
            this.id = id;
            this.random = new Random(id.hashCode());
        }

        /** Returns whether the stream came to its end in this try. */
        private boolean tryOnce(LocalDeployment.Node node) {
            tries++;
            String tryId = id + "-" + tries;
            HttpRequest.Builder request = deployment.request(node, "/talk/x", tryId);
            PlatformFixtures.promptHeaders("a", id).forEach(request::header);
            if (!lastEventId.isEmpty()) {
                PlatformFixtures.resumeHeaders(beganAs, lastEventId).forEach(request::header);
            }
            try {
                HttpResponse<InputStream> response =
                        deployment.client().send(request.build(), HttpResponse.BodyHandlers.ofInputStream());
                status = response.statusCode();
                return status == 200 && readEvents(response.body(), tryId);
            } catch (IOException e) {
                return false;
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        private boolean readEvents(InputStream body, String tryId) throws IOException {
            String eventId = "";
            String version = "";
            try (BufferedReader reader = new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8))) {
                for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                    if (line.startsWith("worker: ")) {
                        version = line.substring(line.indexOf('-') + 1);
                    } else if (line.startsWith("id: ")) {
                        eventId = line.substring(4);
                    } else if (line.isEmpty()) {
                        beganAs = beganAs.isEmpty() ? tryId : beganAs;
                        lastEventId = eventId;
                        versions.add(version);
                        begun.countDown();
                    }
                }
            }
            return lastEventId.equals(Integer.toString(EVENTS));
        }

        /** Returns whether the stream is whole in the end. */
        boolean run(List<LocalDeployment.Node> at) {
            while (tries < MAX_TRIES) {
                if (tryOnce(at.get(random.nextInt(at.size())))) {
                    return true;
                }
            }
            return false;
        }
    }

    private static void assertOneVersionEach(List<Caller> callers) {
        callers.forEach(
                caller -> assertTrue(caller.versions.size() <= 1, caller.id + " holds events of " + caller.versions));
    }

    private static void assertMostWhole(List<CompletableFuture<Boolean>> streams) {
        long whole = streams.stream().filter(CompletableFuture::join).count();
        assertTrue(whole >= 0.75 * STREAMS, whole + " of " + STREAMS + " streams came to their end");
    }

    @Test(dataProvider = "nodeCounts")
    public void aStreamThatBreaksOffGoesOnAtTheVersionThatBeganIt(int nodeCount) {
        startEngines(4, 3);
        startNodes(nodeCount);
        List<Caller> callers = new ArrayList<>();
        List<CompletableFuture<Boolean>> streams = new ArrayList<>();
        for (int index = 0; index < STREAMS; index++) {
            Caller caller = new Caller("s" + index);
            callers.add(caller);
            streams.add(CompletableFuture.supplyAsync(() -> caller.run(nodes), threads));
        }
        streams.forEach(CompletableFuture::join);
        assertOneVersionEach(callers);
        assertMostWhole(streams);
    }

    /** The store is away from before the node dies until the streams have been taken up. */
    @Test
    public void aStreamWhoseNodeDiesGoesOnAtTheVersionThatBeganItWithoutTheStore() throws Exception {
        startEngines(25, Integer.MAX_VALUE);
        startNodes(8);
        deployment.store().setFaults(new JsonObject().put("silent", true));
        LocalDeployment.Node first = nodes.get(1);
        List<LocalDeployment.Node> others = new ArrayList<>(nodes);
        others.remove(first);
        List<Caller> callers = new ArrayList<>();
        List<CompletableFuture<Boolean>> streams = new ArrayList<>();
        for (int index = 0; index < STREAMS; index++) {
            Caller caller = new Caller("d" + index);
            callers.add(caller);
            streams.add(CompletableFuture.supplyAsync(() -> caller.tryOnce(first), threads)
                    .thenApplyAsync(whole -> whole || caller.run(others), threads));
        }
        for (Caller caller : callers) {
            caller.begun.await();
        }
        LocalDeployment.await(first.vertx().close());
        streams.forEach(CompletableFuture::join);
        assertOneVersionEach(callers);
        assertMostWhole(streams);
    }

    /**
     * All nodes end at once while one version serves, or two, and others start without memory (report of the review).
     */
    @Test(dataProvider = "versionsThatLeave")
    public void streamsOfNodesThatAllEndAtOnceAreNotJoinedFromTwoVersions(List<String> leaving) throws Exception {
        startEngines(25, Integer.MAX_VALUE);
        startNodes(3);
        List<LocalDeployment.Node> ended = List.copyOf(nodes);
        List<Caller> callers = new ArrayList<>();
        List<CompletableFuture<Boolean>> streams = new ArrayList<>();
        for (int index = 0; index < STREAMS; index++) {
            Caller caller = new Caller("a" + index);
            LocalDeployment.Node first = ended.get(index % ended.size());
            callers.add(caller);
            streams.add(CompletableFuture.supplyAsync(() -> caller.tryOnce(first), threads));
        }
        for (Caller caller : callers) {
            caller.begun.await();
        }
        for (String id : leaving) {
            deployment.runInStore(() -> deployment.store().remove("servers", id));
        }
        workers.subList(0, leaving.size()).clear();
        ended.forEach(node -> node.vertx().close());
        streams.forEach(CompletableFuture::join);
        nodes.clear();
        startNodes(3);
        callers.stream()
                .map(caller -> CompletableFuture.supplyAsync(() -> caller.run(nodes), threads))
                .toList()
                .forEach(CompletableFuture::join);
        assertOneVersionEach(callers);
    }

    @DataProvider
    public Object[][] versionsThatLeave() {
        return new Object[][] {{List.of()}, {List.of("e0-v1", "e1-v1")}};
    }

    @Test
    public void aStreamThatNobodyKnowsIsNotTakenUpAtAnyVersion() {
        startEngines(4, Integer.MAX_VALUE);
        startNodes(8);
        Caller caller = new Caller("unknown");
        caller.beganAs = "never-seen";
        caller.lastEventId = "3";
        assertEquals(caller.tryOnce(nodes.get(0)), false);
        assertEquals(caller.status, 503);
        caller.beganAs = "";
        assertEquals(caller.tryOnce(nodes.get(1)), false);
        assertEquals(caller.status, 503);
        workers.forEach(worker -> assertEquals(worker.recordedRequests(), List.of()));
    }

    /**
     * Such callers do not name the stream; its service has had one version for longer than streams of the route last.
     */
    @Test
    public void aStreamThatIsNotNamedGoesOnIfItsServiceHasHadOneVersionOnly() throws Exception {
        deployment.configure(PlatformFixtures.route(LocalDeployment.HOST, "brief", "/brief/", "streaming", "llm", 700)
                .put("stream_resume", true)
                .put("sticky_sessions", true));
        workers.add(deployment.startWorker("llm", "v1", WorkerOptions.engine("e0-v1")));
        startNodes(8);
        assertEquals(takeUpBriefly(nodes.get(0)), 503);
        LocalDeployment.awaitThat(
                "the version has been the only one for long enough", () -> takeUpBriefly(nodes.get(0)) == 200);
        workers.add(deployment.startWorker("llm", "v1.1", WorkerOptions.engine("e1-v1.1")));
        LocalDeployment.awaitThat(
                "the other version is known",
                () -> nodes.get(0).metrics(deployment.client()).contains("workers.serving 2"));
        assertEquals(takeUpBriefly(nodes.get(0)), 503);
    }

    private int takeUpBriefly(LocalDeployment.Node node) {
        HttpRequest.Builder request = deployment.request(node, "/brief/x", "brief");
        PlatformFixtures.promptHeaders("a", "b").forEach(request::header);
        request.setHeader("X-Deadline-Ms", "700").header("Last-Event-Id", "3");
        try {
            return deployment.send(request.build()).statusCode();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
