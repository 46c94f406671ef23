package io.lagoonseam.bench.deployment;

import com.codahale.metrics.MetricRegistry;
import io.lagoonseam.bench.fleet.FreePorts;
import io.lagoonseam.core.audit.DecisionLog;
import io.lagoonseam.core.time.SystemTimeSource;
import io.lagoonseam.entry.forward.CurrentSettings;
import io.lagoonseam.entry.forward.ForwardEnvironment;
import io.lagoonseam.entry.forward.ForwardNode;
import io.lagoonseam.entry.forward.NodeSettings;
import io.lagoonseam.entry.log.JsonLineLog;
import io.lagoonseam.platform.HeaderProtocol;
import io.lagoonseam.platform.HttpCollectionStore;
import io.lagoonseam.platform.JsonRecordDecoder;
import io.lagoonseam.platform.PlatformSettings;
import io.lagoonseam.standin.operator.PlatformTexts;
import io.lagoonseam.standin.store.StoreStandIn;
import io.lagoonseam.standin.worker.WorkerOptions;
import io.lagoonseam.standin.worker.WorkerStandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;

/** Nodes over the stand-ins of store and workers, all on the loopback address and in one process. */
public final class LocalDeployment implements AutoCloseable {

    /** The address of everything. */
    public static final String HOST = "127.0.0.1";
    /** A key of the workspace that the configuration names. */
    public static final String KEY = "key-1";

    private static final long STOP_SECONDS = 8;
    private static final long WAIT_MILLIS = 10_000;

    private final Vertx standIns = Vertx.vertx();
    private final StoreStandIn store = new StoreStandIn(HOST, 0);
    private final List<Node> nodes = new ArrayList<>();
    private final Function<String, DecisionLog> logs;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(5))
            .build();
    private final int peerPort = FreePorts.find();
    private long version = 1;

    /**
     * A running node.
     *
     * @param vertx its event loop
     * @param node the node
     * @param settings its settings
     */
    public record Node(Vertx vertx, ForwardNode node, NodeSettings settings) {

        /**
         * Returns the address of a path for callers.
         *
         * @param path the path
         * @return its URI
         */
        public URI uri(String path) {
            return URI.create("http://" + HOST + ":" + settings.callers().port() + path);
        }

        /**
         * Asks whether the node is ready.
         *
         * @param client what asks
         * @return the status of the answer, 0 for none
         */
        public int readiness(HttpClient client) {
            try {
                URI uri =
                        URI.create("http://" + HOST + ":" + settings.readiness().port() + "/ready");
                return client.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.discarding())
                        .statusCode();
            } catch (IOException e) {
                return 0;
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /**
     * Starts a store without objects.
     *
     * @param events hears the events of all nodes
     */
    public LocalDeployment(Consumer<String> events) {
        this((Function<String, DecisionLog>) name -> new JsonLineLog(name, new SystemTimeSource(), events));
    }

    private LocalDeployment(Function<String, DecisionLog> logs) {
        this.logs = logs;
        await(standIns.deployVerticle(store));
    }

    /**
     * Starts a store without objects, for nodes with logs of another kind.
     *
     * @param logs makes the log of a node by its name
     * @return the deployment
     */
    public static LocalDeployment withLogs(Function<String, DecisionLog> logs) {
        return new LocalDeployment(logs);
    }

    /**
     * Waits for a future.
     *
     * @param future the future
     * @param <T> the type of its result
     * @return its result
     */
    public static <T> T await(Future<T> future) {
        try {
            return future.await(WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Starts a node with usual bounds.
     *
     * @return the node
     */
    public Node start() {
        return start(STOP_SECONDS, List.of());
    }

    /**
     * Starts a node.
     *
     * @param stopSeconds the time to stop
     * @param seeds the hosts of other nodes
     * @return the node
     */
    public Node start(long stopSeconds, List<String> seeds) {
        String name = "node-" + (nodes.size() + 1);
        NodeSettings settings = settings(name, stopSeconds, seeds);
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        CurrentSettings current = new CurrentSettings(settings);
        ForwardEnvironment environment = new ForwardEnvironment(
                vertx,
                current,
                new HeaderProtocol(),
                new SystemTimeSource(),
                new Random(nodes.size()),
                logs.apply(name),
                new MetricRegistry());
        ForwardNode node = new ForwardNode(
                environment,
                new HttpCollectionStore(vertx, () -> current.get().store()),
                new JsonRecordDecoder(),
                Optional.empty());
        await(vertx.deployVerticle(context -> node.start()));
        Node started = new Node(vertx, node, settings);
        nodes.add(started);
        return started;
    }

    /**
     * Returns where a node listens for other nodes. The port is the same for all, as on the platform, so each has a
     * loopback address of its own.
     *
     * @param index the place of the node in the order of starts, from 0
     * @return an IP number
     */
    public static String peerHost(int index) {
        return "127.0.0." + (index + 1);
    }

    /** Writes the settings as the platform would, and reads them as a node does. */
    private NodeSettings settings(String name, long stopSeconds, List<String> seeds) {
        PlatformTexts.Addresses addresses = new PlatformTexts.Addresses(
                HOST, peerHost(nodes.size()), FreePorts.find(), FreePorts.find(), peerPort, store.port());
        String text = PlatformTexts.settings(name, addresses, stopSeconds, seeds);
        List<String> errors = new ArrayList<>();
        try {
            Path file = Files.createTempFile("lagoonseam-node", ".toml");
            Files.writeString(file, text);
            Optional<NodeSettings> read = PlatformSettings.read(file, errors);
            Files.delete(file);
            return read.orElseThrow(() -> new IllegalStateException(errors.toString()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Applies a configuration with one route for each kind of work.
     *
     * @return its version
     */
    public long configure() {
        return configure(new JsonObject[0]);
    }

    /**
     * Applies a configuration with further routes.
     *
     * @param extra the routes
     * @return its version
     */
    public long configure(JsonObject... extra) {
        List<JsonObject> routes = new ArrayList<>(PlatformTexts.routes(HOST));
        routes.addAll(List.of(extra));
        version += 3;
        long applied = version;
        inStore(() -> store.put("config", "main", PlatformTexts.configuration(applied, routes, KEY)));
        return applied;
    }

    /**
     * Starts a worker and registers it.
     *
     * @param service its service
     * @param options what it is like
     * @return the worker
     */
    public WorkerStandIn worker(String service, WorkerOptions options) {
        WorkerStandIn worker = new WorkerStandIn(HOST, 0, options, 1);
        await(standIns.deployVerticle(worker));
        register(service, options.id(), worker.port(), options.slots(), "ready");
        return worker;
    }

    /**
     * Writes a worker's record.
     *
     * @param service its service
     * @param id its id
     * @param port its port
     * @param slots its slots
     * @param state its state in the platform's words
     */
    public void register(String service, String id, int port, int slots, String state) {
        JsonObject record = PlatformTexts.worker(service, HOST + ":" + port, slots, state);
        inStore(() -> store.put("servers", id, record));
    }

    /**
     * Changes something in the store as its operators would.
     *
     * @param change the change
     */
    public void inStore(Runnable change) {
        CountDownLatch done = new CountDownLatch(1);
        store.run(() -> {
            change.run();
            done.countDown();
        });
        try {
            if (!done.await(WAIT_MILLIS, TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException("the store does not answer");
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Waits until a node is ready.
     *
     * @param node the node
     */
    public void awaitReady(Node node) {
        awaitThat("ready", () -> node.readiness(client) == 200);
    }

    /**
     * Waits for a condition.
     *
     * @param what the condition in words
     * @param condition the condition
     */
    public static void awaitThat(String what, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                throw new AssertionError("not in time: " + what);
            }
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /**
     * Starts a caller's request.
     *
     * @param node the node that it goes to
     * @param path the path
     * @param id the id of the request
     * @return a builder
     */
    public HttpRequest.Builder request(Node node, String path, String id) {
        HttpRequest.Builder request = HttpRequest.newBuilder(node.uri(path)).timeout(Duration.ofSeconds(8));
        PlatformTexts.callerHeaders(KEY, id).forEach(request::header);
        return request;
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @return the answer
     * @throws IOException if there is none
     * @throws InterruptedException if the thread is interrupted
     */
    public HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /**
     * Returns the store.
     *
     * @return the stand-in
     */
    public StoreStandIn store() {
        return store;
    }

    /**
     * Returns the client that callers use.
     *
     * @return the client
     */
    public HttpClient client() {
        return client;
    }

    @Override
    public void close() {
        nodes.forEach(node -> await(node.vertx().close()));
        await(standIns.close());
    }
}
