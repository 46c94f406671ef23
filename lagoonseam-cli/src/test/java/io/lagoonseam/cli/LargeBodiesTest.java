package io.lagoonseam.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.lagoonseam.bench.fleet.FreePorts;
import io.lagoonseam.bench.soak.NodeProcess;
import io.lagoonseam.standin.operator.PlatformFixtures;
import io.lagoonseam.standin.store.StoreStandIn;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests a node, as a process with the heap of the deployments, to which more large bodies come than it has room for.
 */
public final class LargeBodiesTest {

    private static final String KEY = "key-1";
    private static final int CALLERS = 40;
    private static final long PATIENCE_MILLIS = 20_000;
    private static final long BACK_MILLIS = 300;
    private static final int CHUNK_BYTES = 10_000;
    private static final int OK = 200;
    private static final int REFUSED = 503;
    private static final long WORK_MILLIS = 300;

    private final byte[] sent = new byte[4_000_000];
    private ExecutorService threads;
    private Vertx vertx;
    private HttpServer worker;
    private NodeProcess node;
    private AtomicInteger changed;

    @BeforeMethod
    public void start() throws Exception {
        new Random(7).nextBytes(sent);
        changed = new AtomicInteger();
        threads = Executors.newCachedThreadPool();
        vertx = Vertx.vertx();
        StoreStandIn store = new StoreStandIn(NodeProcess.HOST, 0);
        vertx.deployVerticle(store).await();
        worker = HttpServer.create(new InetSocketAddress(InetAddress.getByName(NodeProcess.HOST), 0), 100);
        worker.setExecutor(threads);
        worker.createContext("/", this::run);
        worker.start();
        CompletableFuture<Void> written = new CompletableFuture<>();
        store.runOnEventLoop(() -> {
            JsonObject configuration =
                    PlatformFixtures.configuration(4, PlatformFixtures.routes(NodeProcess.HOST), KEY);
            configuration.getJsonObject("limits").put("max_body_bytes", sent.length);
            store.put("config", "main", configuration);
            String address = NodeProcess.HOST + ":" + worker.getAddress().getPort();
            store.put("servers", "w1", PlatformFixtures.worker("app", address, 200, "ready"));
            written.complete(null);
        });
        written.get(10, TimeUnit.SECONDS);
        node = new NodeProcess(Files.createTempDirectory("lagoonseam-test"), 0, FreePorts.findTwo(), store.port(), 8);
        node.start();
        node.awaitReady();
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws Exception {
        node.close();
        worker.stop(0);
        threads.shutdownNow();
        vertx.close().await(10, TimeUnit.SECONDS);
    }

    private void run(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (!Arrays.equals(body, 0, body.length, sent, 0, body.length)
                || body.length != Integer.parseInt(exchange.getRequestHeaders().getFirst("X-Size"))) {
            changed.incrementAndGet();
        }
        try {
            Thread.sleep(WORK_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        exchange.getResponseHeaders()
                .set("X-Request-Id", exchange.getRequestHeaders().getFirst("X-Request-Id"));
        exchange.getResponseHeaders().set("X-Response-Seal", "s");
        exchange.sendResponseHeaders(OK, -1);
        exchange.close();
    }

    /** Sends one request and returns the status, 0 if there is none. */
    private int send(String id, int bytes, boolean chunked) {
        try (Socket socket = new Socket(NodeProcess.HOST, node.callerPort())) {
            socket.setSoTimeout(10_000);
            StringBuilder head = new StringBuilder("POST /pay/x HTTP/1.1\r\nHost: " + NodeProcess.HOST + "\r\nX-Size: "
                    + bytes + "\r\n"
                    + (chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + bytes + "\r\n"));
            PlatformFixtures.callerHeaders(KEY, id)
                    .forEach((name, value) ->
                            head.append(name).append(": ").append(value).append("\r\n"));
            OutputStream out = socket.getOutputStream();
            out.write((head + "\r\n").getBytes(StandardCharsets.US_ASCII));
            for (int from = 0; from < bytes; from += CHUNK_BYTES) {
                int count = Math.min(CHUNK_BYTES, bytes - from);
                if (chunked) {
                    out.write((Integer.toHexString(count) + "\r\n").getBytes(StandardCharsets.US_ASCII));
                }
                out.write(sent, from, count);
                if (chunked) {
                    out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
                }
                if (from % (8 * CHUNK_BYTES) == 0) {
                    Thread.sleep(5);
                }
            }
            out.write((chunked ? "0\r\n\r\n" : "").getBytes(StandardCharsets.US_ASCII));
            String line = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
            return line == null ? 0 : Integer.parseInt(line.split(" ")[1]);
        } catch (IOException | InterruptedException e) {
            return 0;
        }
    }

    /** Sends a request again, a little later, as long as it is refused; returns all statuses. */
    private List<Integer> sendUntilServed(String name, int bytes, boolean chunked) throws InterruptedException {
        List<Integer> statuses = new ArrayList<>();
        long endMillis = System.currentTimeMillis() + PATIENCE_MILLIS;
        while (System.currentTimeMillis() < endMillis) {
            int status = send(name + statuses.size(), bytes, chunked);
            statuses.add(status);
            if (status != REFUSED) {
                break;
            }
            Thread.sleep(BACK_MILLIS);
        }
        return statuses;
    }

    @DataProvider
    public Object[][] bodies() {
        return new Object[][] {{2_200_000, true}, {2_200_000, false}, {4_000_000, true}, {100_000, false}};
    }

    /**
     * Guards against bodies that lack pieces, and against a node that goes on without answering, after more bodies have
     * come than it has memory for (review, case 7).
     */
    @Test(dataProvider = "bodies")
    public void everyRequestIsRunWithItsBodyOrRefused(int bytes, boolean chunked) throws Exception {
        List<Future<List<Integer>>> callers = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            String name = "r" + caller + "-";
            callers.add(threads.submit(() -> sendUntilServed(name, bytes, chunked)));
        }
        for (Future<List<Integer>> caller : callers) {
            List<Integer> statuses = caller.get(2 * PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
            assertTrue(Set.of(OK, REFUSED).containsAll(statuses), statuses.toString());
            assertTrue(statuses.contains(OK), "refused again and again: " + statuses);
        }
        assertEquals(changed.get(), 0, "requests that ran with another body");
        assertTrue(node.running() && node.ready(), "the node goes on as a whole");
        assertEquals(send("afterwards", bytes, chunked), OK);
    }
}
