package io.lagoonseam.bench.deployment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.standin.worker.WorkerOptions;
import io.lagoonseam.standin.worker.WorkerStandIn;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntConsumer;
import java.util.function.IntUnaryOperator;
import java.util.function.ToLongFunction;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that requests which crash workers no longer reach any, while sound requests beside them are served. */
public class CrashingRequestTest {

    /** The time within which machines in touch know of a matter, and the number of requests that may still be sent. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final int ALLOWED = 3;
    private static final int WORKERS = 8;

    private final List<WorkerStandIn> workers = new ArrayList<>();
    private final List<LocalDeployment.Node> nodes = new ArrayList<>();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger sound = new AtomicInteger();
    private final AtomicInteger ids = new AtomicInteger();
    private ExecutorService threads;
    private LocalDeployment deployment;

    @BeforeMethod
    public void start() {
        workers.clear();
        nodes.clear();
        ended.set(false);
        served.set(0);
        sound.set(0);
        threads = Executors.newCachedThreadPool();
        deployment = new LocalDeployment(event -> {});
        deployment.configure();
    }

    @AfterMethod
    public void close() {
        ended.set(true);
        threads.shutdown();
        deployment.close();
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
                            && node.metrics(deployment.client()).contains("workers.serving " + WORKERS));
        }
    }

    private void startWorkers(String service, JsonObject faults) {
        for (int index = 0; index < WORKERS; index++) {
            String id = "w" + index;
            WorkerOptions options = "llm".equals(service) ? WorkerOptions.engine(id) : WorkerOptions.plain(id);
            WorkerStandIn worker = deployment.startWorker(service, options);
            worker.setFaults(faults);
            workers.add(worker);
        }
    }

    private long sum(ToLongFunction<WorkerStandIn> value) {
        return workers.stream().mapToLong(value).sum();
    }

    /** Sends a request to a node in turn, and returns its status, 0 if its connection closed. */
    private int send(int number, String parts) {
        HttpRequest.Builder request = request(number, "/chat/x");
        Map.of("X-Token-Counts", "300,8", "X-Prompt-Prefix", parts).forEach(request::header);
        return status(request);
    }

    private HttpRequest.Builder request(int number, String path) {
        return deployment.request(nodes.get(number % nodes.size()), path, "r" + ids.incrementAndGet());
    }

    private int status(HttpRequest.Builder request) {
        try {
            return deployment.send(request.build()).statusCode();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Calls with one number after the other, and counts the answers with status 200. */
    private void startSoundCallers(IntUnaryOperator statusOf) {
        for (int caller = 0; caller < 4; caller++) {
            int first = 100_000 * (caller + 1);
            threads.submit(() -> {
                for (int number = first; !ended.get(); number++) {
                    boolean whole = statusOf.applyAsInt(number) == 200;
                    sound.incrementAndGet();
                    served.addAndGet(whole ? 1 : 0);
                    sleep(20);
                }
            });
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Has requests crash workers, and checks what becomes of more of them, and of sound ones, when all nodes have to
     * know.
     *
     * @param crashes the number of crashes
     * @param send sends the request with a number
     */
    private void assertContained(int crashes, IntConsumer send) {
        int number = 0;
        for (; sum(WorkerStandIn::crashes) < crashes && number < 60; number++) {
            send.accept(number);
            sleep(150);
        }
        sleep(CONTACT_MILLIS);
        long sentBefore = sum(WorkerStandIn::crashingArrivals);
        int soundBefore = sound.get();
        int servedBefore = served.get();
        for (int more = 0; more < 24; more++) {
            send.accept(number + more);
            sleep(80);
        }
        long sentAfter = sum(WorkerStandIn::crashingArrivals) - sentBefore;
        assertTrue(sentAfter <= ALLOWED, sentAfter + " requests reached workers after " + crashes + " crashes");
        int soundSent = sound.get() - soundBefore;
        int soundServed = served.get() - servedBefore;
        assertTrue(soundServed >= 0.9 * soundSent, soundServed + " of " + soundSent + " sound requests were served");
    }

    /** The sound requests share the first part of those that crash workers. */
    @Test(dataProvider = "nodeCounts")
    public void requestsWithAPartThatCrashesWorkersAreSentToNoMoreOfThem(int nodeCount) {
        startWorkers("llm", new JsonObject().put("crashPart", "bad").put("crashMillis", 700));
        startNodes(nodeCount);
        startSoundCallers(number -> send(number, "a" + number % 3 + ":100,b" + number % 5 + ":50,own:100"));
        assertContained(5, number -> send(number, "a" + number % 3 + ":100,bad:50,own" + number + ":100"));
        assertEquals(send(0, "a0:100,b1:50,own:100"), 200);
    }

    private int sendBody(int number, String body) {
        HttpRequest.Builder request = request(number, "/chat/x").POST(HttpRequest.BodyPublishers.ofString(body));
        Map.of("X-Token-Counts", "300,8", "X-Prompt-Prefix", "a:100,own:100").forEach(request::header);
        return status(request);
    }

    /** The sound requests have the same path, caller and prompt, and other bodies. */
    @Test(dataProvider = "nodeCounts")
    public void aRequestThatCrashesWorkersIsSentToNoMoreOfThem(int nodeCount) {
        startWorkers("llm", new JsonObject().put("crashText", "crash").put("crashMillis", 700));
        startNodes(nodeCount);
        startSoundCallers(number -> sendBody(number, "body " + number));
        assertContained(3, number -> sendBody(number, "crash"));
    }

    /** The node sends the request to a second worker if the first one breaks off. */
    @Test
    public void aRequestWithoutBodyThatCrashesWorkersIsSentToNoMoreOfThem() {
        startWorkers("app", new JsonObject().put("crashText", "crash").put("crashMillis", 700));
        startNodes(8);
        startSoundCallers(number -> status(request(number, "/read/" + number)));
        assertContained(3, number -> status(request(number, "/read/crash")));
    }
}
