package io.lagoonseam.bench.deployment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.standin.link.CuttableLink.Cut;
import io.lagoonseam.standin.operator.PlatformFixtures;
import io.lagoonseam.standin.worker.WorkerOptions;
import io.lagoonseam.standin.worker.WorkerStandIn;
import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what callers get from nodes that are cut off from all workers while callers, store and peers reach them. */
public class CutOffNodeTest {

    /** The time after which a cut may no longer be felt, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final long CUT_MILLIS = 7_000;
    private static final long REQUEST_INTERVAL_MILLIS = 8;

    /** First tries that may fail, besides a share of all. */
    private static final int MAX_FAILURES = 10;

    private static final double MAX_FAILURE_SHARE = 1.0 / 50;
    private static final double MIN_SHARE_OF_OTHERS = 2.0 / 3;

    private final Queue<String> events = new ConcurrentLinkedQueue<>();
    private final List<WorkerStandIn> workers = new ArrayList<>();
    private final List<Sent> sent = new ArrayList<>();
    private LocalDeployment deployment;
    private List<LocalDeployment.Node> nodes;

    private record Sent(
            String id, String path, int node, long atMillis, CompletableFuture<HttpResponse<String>> answer) {

        /** Returns the status, 0 if there is no whole answer. */
        int status() {
            try {
                return answer.join().statusCode();
            } catch (CompletionException e) {
                return 0;
            }
        }

        boolean served() {
            return status() == 200
                    && answer.join().body().contains(id)
                    && (!path.startsWith("/talk") || answer.join().body().contains("id: 10\n"));
        }
    }

    @AfterMethod
    public void close() {
        deployment.close();
        workers.clear();
        sent.clear();
        events.clear();
    }

    private void start(int nodeCount) {
        deployment = new LocalDeployment(events::add);
        deployment.makeCuttable();
        for (int index = 1; index <= 3; index++) {
            workers.add(deployment.startWorker("app", WorkerOptions.plain("p" + index)));
            workers.add(deployment.startWorker("llm", WorkerOptions.engine("e" + index)));
        }
        deployment.configure();
        nodes = new ArrayList<>();
        for (int index = 0; index < nodeCount; index++) {
            nodes.add(deployment.startNode(8, index == 0 ? List.of() : List.of(LocalDeployment.peerHost(0))));
        }
        nodes.forEach(deployment::awaitReady);
        sendFor(1_500);
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void sendFor(long millis) {
        long endMillis = nowMillis() + millis;
        while (nowMillis() < endMillis) {
            send(sent.size() % nodes.size());
            pause(REQUEST_INTERVAL_MILLIS);
        }
    }

    private void send(int node) {
        int number = sent.size();
        String id = "c" + number;
        String path =
                switch (number / nodes.size() % 3) {
                    case 0 -> "/read/x";
                    case 1 -> "/pay/x";
                    default -> "/talk/x";
                };
        HttpRequest.Builder request = deployment.request(nodes.get(node), path, id);
        if (path.startsWith("/talk")) {
            PlatformFixtures.promptHeaders("a" + number % 5, "b" + number).forEach(request::header);
        } else if (path.startsWith("/pay")) {
            request.POST(HttpRequest.BodyPublishers.ofString("{\"pay\":" + number + "}"));
        }
        sent.add(new Sent(
                id,
                path,
                node,
                nowMillis(),
                deployment.client().sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())));
    }

    private void cut(int from, int to, Cut cut) {
        for (int index = from; index < to; index++) {
            deployment.cut(nodes.get(index), cut);
        }
    }

    private static double servedShare(List<Sent> requests) {
        return requests.isEmpty()
                ? 1
                : (double) requests.stream().filter(Sent::served).count() / requests.size();
    }

    /** Checks the requests that were sent within a span of time, by whether their node was cut off. */
    private void assertServedAlike(long fromMillis, long toMillis, int cutFrom, int cutTo) {
        List<Sent> atCut = new ArrayList<>();
        List<Sent> atOthers = new ArrayList<>();
        for (Sent request : sent) {
            if (request.atMillis() >= fromMillis && request.atMillis() < toMillis) {
                (request.node() >= cutFrom && request.node() < cutTo ? atCut : atOthers).add(request);
            }
        }
        double atCutShare = servedShare(atCut);
        double othersShare = servedShare(atOthers);
        long failed = atCut.stream().filter(request -> !request.served()).count();
        long failedAtOthers =
                atOthers.stream().filter(request -> !request.served()).count();
        String seen = "served " + atCutShare + " of " + atCut.size() + " at nodes that were cut off, " + othersShare
                + " of " + atOthers.size() + " at others";
        assertTrue(atCutShare >= MIN_SHARE_OF_OTHERS * othersShare, seen);
        double allowed = MAX_FAILURES + MAX_FAILURE_SHARE * (atCut.size() + atOthers.size());
        assertTrue(failed <= allowed, seen);
        assertTrue(failedAtOthers <= allowed, seen);
    }

    private void assertRunAsAnswered() {
        Map<String, Integer> runs = new HashMap<>();
        Set<String> statedNotRun = new HashSet<>();
        for (Sent request : sent) {
            if (request.status() == 503) {
                statedNotRun.add(request.id());
            }
        }
        for (WorkerStandIn worker : workers) {
            for (JsonObject run : worker.recordedRequests()) {
                runs.merge(run.getString("id"), 1, Integer::sum);
            }
        }
        for (Sent request : sent) {
            int count = runs.getOrDefault(request.id(), 0);
            assertTrue(count <= (request.path().startsWith("/pay") ? 1 : 2), request + " ran " + count + " times");
            assertTrue(count == 0 || !statedNotRun.contains(request.id()), request + " ran, and got 503");
        }
    }

    private List<String> logged(String name, int fromNode, int toNode) {
        return events.stream()
                .filter(event -> event.contains("\"" + name + "\""))
                .filter(event -> {
                    String node = new JsonObject(event).getString("node");
                    int index = Integer.parseInt(node.substring(node.indexOf('-') + 1)) - 1;
                    return index >= fromNode && index < toNode;
                })
                .toList();
    }

    @DataProvider
    public Object[][] cuts() {
        return new Object[][] {
            {8, 1, Cut.SILENT},
            {8, 5, Cut.RESET},
            {8, 7, Cut.REFUSE},
            {11, 10, Cut.SILENT},
            {11, 4, Cut.RESET},
        };
    }

    @Test(dataProvider = "cuts")
    public void callersOfNodesThatAreCutOffAreServedLikeOthers(int nodeCount, int cutCount, Cut cut) {
        start(nodeCount);
        long cutAtMillis = nowMillis();
        cut(0, cutCount, cut);
        sendFor(CUT_MILLIS);
        long healedAtMillis = nowMillis();
        cut(0, cutCount, Cut.NONE);
        sendFor(CONTACT_MILLIS + 1_000);
        assertServedAlike(cutAtMillis + CONTACT_MILLIS, healedAtMillis, 0, cutCount);
        assertServedAlike(healedAtMillis + CONTACT_MILLIS, Long.MAX_VALUE, 0, cutCount);
        assertRunAsAnswered();
        assertEquals(logged("UPSTREAM_CRASHED", 0, nodeCount), List.of(), "no worker crashed");
        assertEquals(logged("UPSTREAM_SET_ASIDE", cutCount, nodeCount), List.of(), "no worker was ejected elsewhere");
        assertEquals(logged("WORKERS_CUT_OFF", cutCount, nodeCount), List.of(), "the other nodes are not cut off");
        for (LocalDeployment.Node node : nodes) {
            assertTrue(node.metrics(deployment.client()).contains("services.cut_off 0"), "the cut is over everywhere");
        }
    }

    private String detourNode(String requestId) {
        LocalDeployment.awaitThat(
                "the request goes through another node",
                () -> detoured(requestId).isPresent());
        return detoured(requestId).get();
    }

    private Optional<String> detoured(String requestId) {
        return events.stream()
                .filter(event -> event.contains("REQUEST_DETOURED") && event.contains("\"" + requestId + "\""))
                .map(event -> new JsonObject(event).getString("node_used"))
                .findFirst();
    }

    private CompletableFuture<HttpResponse<String>> longStream(int node, String id) {
        HttpRequest.Builder request = deployment.request(nodes.get(node), "/talk/x", id);
        PlatformFixtures.promptHeaders("a", "b", 800).forEach(request::header);
        return deployment.client().sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private void cutOffForLong(int node, Cut cut) {
        cut(node, node + 1, cut);
        sendFor(CONTACT_MILLIS / 2);
    }

    /** Its connections to workers were idle when they were cut, and may still be reused by their age. */
    @Test
    public void aPaymentAtAnIdleNodeThatWasCutOffInSilenceIsServed() {
        start(2);
        send(0);
        sent.get(sent.size() - 1).status();
        for (int number = 0; number < 4; number++) {
            pay(0, "warm" + number).join();
        }
        cut(0, 1, Cut.SILENT);
        pause(CONTACT_MILLIS);
        assertEquals(pay(0, "late").join().statusCode(), 200);
        assertRunAsAnswered();
    }

    private CompletableFuture<HttpResponse<String>> pay(int node, String id) {
        HttpRequest request = deployment
                .request(nodes.get(node), "/pay/x", id)
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build();
        return deployment.client().sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    @Test
    public void aSecondCutAsTheFirstOneHealsIsFeltAsLittle() {
        start(8);
        long firstMillis = nowMillis();
        cut(0, 4, Cut.SILENT);
        sendFor(5_000);
        long secondMillis = nowMillis();
        cut(0, 4, Cut.NONE);
        cut(4, 8, Cut.RESET);
        sendFor(5_000);
        long healedMillis = nowMillis();
        cut(4, 8, Cut.NONE);
        sendFor(CONTACT_MILLIS + 500);
        assertServedAlike(firstMillis + CONTACT_MILLIS, secondMillis, 0, 4);
        assertServedAlike(secondMillis + CONTACT_MILLIS, healedMillis, 4, 8);
        assertServedAlike(healedMillis + CONTACT_MILLIS, Long.MAX_VALUE, 4, 8);
        assertRunAsAnswered();
    }

    @Test
    public void requestsAreRefusedAndDoNotRunWhileAllNodesAreCutOff() {
        start(3);
        cut(0, 3, Cut.RESET);
        sendFor(CONTACT_MILLIS);
        int before = sent.size();
        sendFor(1_000);
        for (Sent request : sent.subList(before, sent.size())) {
            assertEquals(request.status(), 503, request.path());
            assertTrue(
                    request.answer().join().headers().firstValue("Retry-After").isPresent());
        }
        cut(0, 3, Cut.NONE);
        sendFor(CONTACT_MILLIS);
        int healed = sent.size();
        sendFor(1_000);
        assertEquals(servedShare(sent.subList(healed, sent.size())), 1.0);
        assertRunAsAnswered();
    }

    @Test
    public void aCallerWhoLeavesEndsTheWorkBehindTheOtherNode() {
        start(2);
        cutOffForLong(0, Cut.RESET);
        sent.forEach(Sent::status);
        CompletableFuture<HttpResponse<String>> stream = longStream(0, "leaves");
        detourNode("leaves");
        LocalDeployment.awaitThat(
                "a worker works on it", () -> workers.stream().anyMatch(worker -> worker.openRequests() > 0));
        stream.cancel(true);
        long leftMillis = nowMillis();
        LocalDeployment.awaitThat(
                "no worker works on it", () -> workers.stream().allMatch(worker -> worker.openRequests() == 0));
        assertTrue(nowMillis() - leftMillis <= 500, "the work ended after " + (nowMillis() - leftMillis) + " ms");
    }

    @DataProvider
    public Object[][] secondCuts() {
        return new Object[][] {{Cut.RESET}, {Cut.SILENT}};
    }

    @Test(dataProvider = "secondCuts")
    public void aStreamGoesOnIfTheNodeThatItGoesThroughIsCutOffToo(Cut second) {
        start(3);
        cutOffForLong(0, Cut.RESET);
        CompletableFuture<HttpResponse<String>> stream = longStream(0, "twice");
        String through = detourNode("twice");
        pause(200);
        int cutNode = Integer.parseInt(through.substring(through.lastIndexOf('.') + 1, through.indexOf(':'))) - 1;
        cut(cutNode, cutNode + 1, second);
        String body = stream.join().body();
        assertEquals(stream.join().statusCode(), 200);
        assertTrue(
                body.endsWith("id: 200\ndata: token 200 of twice\n\n"),
                body.substring(Math.max(0, body.length() - 99)));
        assertEquals(body.split("id: ").length, 201, "each event comes once");
    }

    @Test
    public void aNodeThatIsStoppedFinishesTheRequestsOfOthers() {
        start(3);
        cutOffForLong(0, Cut.RESET);
        CompletableFuture<HttpResponse<String>> stream = longStream(0, "stopped");
        String through = detourNode("stopped");
        int stopped = Integer.parseInt(through.substring(through.lastIndexOf('.') + 1, through.indexOf(':'))) - 1;
        var ended = nodes.get(stopped).node().stop();
        int before = sent.size();
        for (int number = 0; number < 60; number++) {
            send(0);
            pause(REQUEST_INTERVAL_MILLIS);
        }
        String body = stream.join().body();
        assertTrue(body.endsWith("id: 200\ndata: token 200 of stopped\n\n"));
        assertEquals(servedShare(sent.subList(before, sent.size())), 1.0);
        LocalDeployment.await(ended);
        assertRunAsAnswered();
    }

    @Test
    public void aNodeRejectsRequestsOfOthersThatItCannotRead() throws Exception {
        start(1);
        var address = nodes.get(0).settings().detours();
        URI uri = URI.create("http://" + address.host() + ":" + address.port() + "/read/x");
        for (String terms : List.of("", "AAAA", "no base64!")) {
            HttpRequest.Builder request = HttpRequest.newBuilder(uri);
            if (!terms.isEmpty()) {
                request.header("Lagoonseam-Detour", terms);
            }
            assertEquals(deployment.send(request.build()).statusCode(), 400, terms);
        }
        HttpRequest ofCaller = deployment
                .request(nodes.get(0), "/read/x", "caller")
                .header("Lagoonseam-Detour", "AAAA")
                .build();
        HttpResponse<String> answer = deployment.send(ofCaller);
        assertEquals(answer.statusCode(), 200);
        assertTrue(answer.headers().firstValue("Lagoonseam-Detour").isEmpty());
    }
}
