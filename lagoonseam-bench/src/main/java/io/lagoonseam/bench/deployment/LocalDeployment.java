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
import io.lagoonseam.platform.HttpUsagePlatform;
import io.lagoonseam.platform.JsonRecordDecoder;
import io.lagoonseam.platform.NodeSettingsReader;
import io.lagoonseam.standin.link.CuttableLink;
import io.lagoonseam.standin.operator.PlatformFixtures;
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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Runs forwarding nodes with a stand-in store and stand-in workers in one process, all on loopback addresses.
 *
 * <p>Methods block the calling thread and must not be called on an event loop.
 */
public final class LocalDeployment implements AutoCloseable {

    /** The loopback address of the store, the workers and the nodes' listeners for callers. */
    public static final String HOST = "127.0.0.1";
    /** The API key of the only workspace in the configuration. */
    public static final String KEY = "key-1";

    private static final long STOP_DEADLINE_SECONDS = 8;
    private static final long TIMEOUT_MILLIS = 10_000;

    private final Vertx standInVertx = Vertx.vertx();
    private final StoreStandIn store = new StoreStandIn(HOST, 0);
    private final List<Node> nodes = new ArrayList<>();
    private final Function<String, DecisionLog> logFactory;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(5))
            .build();
    private final int peerPort = FreePorts.findTwo();
    private final Map<Node, NodeLinks> linksByNode = new HashMap<>();
    private boolean cuttable;
    private long version = 1;

    /**
     * A running node.
     *
     * @param vertx the Vert.x instance of the node, with a single event loop
     * @param node the node
     * @param settings the settings that the node was started with
     */
    public record Node(Vertx vertx, ForwardNode node, NodeSettings settings) {

        /**
         * Returns the URI of a path on the node's listener for callers.
         *
         * @param path the path, starting with a slash, with an optional query
         * @return the absolute URI
         */
        public URI uri(String path) {
            return URI.create("http://" + HOST + ":" + settings.callers().port() + path);
        }

        /**
         * Requests the metrics of the node.
         *
         * @param client the HTTP client to use
         * @return the metrics as text, empty if there was no response
         */
        public String metrics(HttpClient client) {
            try {
                URI uri =
                        URI.create("http://" + HOST + ":" + settings.readiness().port() + "/metrics");
                return client.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
                        .body();
            } catch (IOException e) {
                return "";
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        /**
         * Requests the readiness endpoint of the node.
         *
         * @param client the HTTP client to use
         * @return the status code of the response, or 0 if there was no response
         */
        public int readinessStatus(HttpClient client) {
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
     * Starts an empty store.
     *
     * @param events receives each event of all nodes as one JSON line; called from the log thread of each node,
     *     possibly at the same time
     */
    public LocalDeployment(Consumer<String> events) {
        this((Function<String, DecisionLog>) name -> new JsonLineLog(name, new SystemTimeSource(), events));
    }

    private LocalDeployment(Function<String, DecisionLog> logFactory) {
        this.logFactory = logFactory;
        await(standInVertx.deployVerticle(store));
    }

    /**
     * Starts an empty store and uses another log implementation for the nodes.
     *
     * @param logFactory creates the log of a node from the name of the node
     * @return the deployment
     */
    public static LocalDeployment withLogs(Function<String, DecisionLog> logFactory) {
        return new LocalDeployment(logFactory);
    }

    /**
     * Waits up to 10 seconds for a future.
     *
     * @param future the future
     * @param <T> the type of the result
     * @return the result of the future
     * @throws IllegalStateException if the future is not completed in time
     */
    public static <T> T await(Future<T> future) {
        try {
            return future.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Puts links that can be cut between the workers and the nodes that are started from now on. */
    public void makeCuttable() {
        cuttable = true;
    }

    /**
     * Cuts a node off from all workers, or ends the cut. Takes effect before this returns.
     *
     * @param node the node, which was started after {@link #makeCuttable()}
     * @param cut how its links fail
     */
    public void cut(Node node, CuttableLink.Cut cut) {
        linksByNode.get(node).cut(cut);
    }

    /**
     * Starts a node with a stop deadline of 8 seconds and without seed nodes.
     *
     * @return the node, which may not be ready yet
     */
    public Node startNode() {
        return startNode(STOP_DEADLINE_SECONDS, List.of());
    }

    /**
     * Starts a node.
     *
     * @param stopSeconds the time in seconds that a graceful shutdown of the node may take
     * @param seeds the hosts of the seed nodes
     * @return the node, which may not be ready yet
     */
    public Node startNode(long stopSeconds, List<String> seeds) {
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
                logFactory.apply(name),
                new MetricRegistry());
        NodeLinks links = new NodeLinks(new JsonRecordDecoder());
        ForwardNode node = new ForwardNode(
                environment,
                new HttpCollectionStore(vertx, () -> current.get().store(), environment.events()),
                cuttable ? links : new JsonRecordDecoder(),
                Optional.empty(),
                settings.usage().map(usage -> new HttpUsagePlatform(vertx, usage.platform())));
        await(vertx.deployVerticle(context -> node.start()));
        Node startedNode = new Node(vertx, node, settings);
        nodes.add(startedNode);
        linksByNode.put(startedNode, links);
        return startedNode;
    }

    /**
     * Returns the address on which a node listens for other nodes. All nodes use the same port, as on the platform, so
     * each node has its own loopback address.
     *
     * @param index the index of the node in start order, from 0
     * @return an IP address
     */
    public static String peerHost(int index) {
        return "127.0.0." + (index + 1);
    }

    /** Writes a settings file in the format of the platform and reads it the way a node does. */
    private NodeSettings settings(String name, long stopSeconds, List<String> seeds) {
        PlatformFixtures.Addresses addresses = new PlatformFixtures.Addresses(
                HOST, peerHost(nodes.size()), FreePorts.find(), FreePorts.find(), peerPort, store.port());
        String text = PlatformFixtures.settings(name, addresses, stopSeconds, seeds);
        List<String> errors = new ArrayList<>();
        try {
            Path file = Files.createTempFile("lagoonseam-node", ".toml");
            Files.writeString(file, text);
            Optional<NodeSettings> read = NodeSettingsReader.read(file, errors);
            Files.delete(file);
            return read.orElseThrow(() -> new IllegalStateException(errors.toString()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Applies a configuration with one route for each kind of work.
     *
     * @return the version of the configuration
     */
    public long configure() {
        return configure(new JsonObject[0]);
    }

    /**
     * Applies a configuration with one route for each kind of work and additional routes.
     *
     * @param extra the additional routes
     * @return the version of the configuration
     */
    public long configure(JsonObject... extra) {
        List<JsonObject> routes = new ArrayList<>(PlatformFixtures.routes(HOST));
        routes.addAll(List.of(extra));
        version += 3;
        long applied = version;
        runInStore(() -> store.put("config", "main", PlatformFixtures.configuration(applied, routes, KEY)));
        return applied;
    }

    /**
     * Starts a worker and registers it in the store as ready.
     *
     * @param service the service of the worker
     * @param options the capacity and timing of the worker
     * @return the worker
     */
    public WorkerStandIn startWorker(String service, WorkerOptions options) {
        return startWorker(service, "v1", options);
    }

    /**
     * Starts a worker with a version of its software and registers it in the store as ready.
     *
     * @param service the service of the worker
     * @param version the version of its software
     * @param options the capacity and timing of the worker
     * @return the worker
     */
    public WorkerStandIn startWorker(String service, String version, WorkerOptions options) {
        WorkerStandIn worker = new WorkerStandIn(HOST, 0, options, 1);
        await(standInVertx.deployVerticle(worker));
        JsonObject record =
                PlatformFixtures.worker(service, version, HOST + ":" + worker.port(), options.slots(), "ready");
        runInStore(() -> store.put("servers", options.id(), record));
        return worker;
    }

    /**
     * Writes the record of a worker to the store.
     *
     * @param service the service of the worker
     * @param id the id of the worker
     * @param port the port of the worker on {@link #HOST}
     * @param slots the number of requests that the worker runs at the same time
     * @param state the state of the worker as the platform spells it, such as {@code ready} or {@code draining}
     */
    public void register(String service, String id, int port, int slots, String state) {
        JsonObject record = PlatformFixtures.worker(service, HOST + ":" + port, slots, state);
        runInStore(() -> store.put("servers", id, record));
    }

    /**
     * Changes objects of the store as an operator of the platform would. The change runs on the event loop of the
     * store; waits up to 10 seconds until it has run.
     *
     * @param change the change to the objects of the store
     */
    public void runInStore(Runnable change) {
        CountDownLatch done = new CountDownLatch(1);
        store.runOnEventLoop(() -> {
            change.run();
            done.countDown();
        });
        try {
            if (!done.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException("the store did not run the change within " + TIMEOUT_MILLIS + " ms");
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Waits up to 10 seconds until the readiness endpoint of a node returns status 200.
     *
     * @param node the node
     */
    public void awaitReady(Node node) {
        awaitThat("node is ready", () -> node.readinessStatus(client) == 200);
    }

    /**
     * Polls a condition every 10 ms until it holds, for up to 10 seconds.
     *
     * @param description the condition in words, for the error message
     * @param condition the condition
     */
    public static void awaitThat(String description, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                throw new AssertionError("condition not met within " + TIMEOUT_MILLIS + " ms: " + description);
            }
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /**
     * Creates a builder for a caller's request with a timeout of 8 seconds and the headers that every caller sends.
     *
     * @param node the node that receives the request
     * @param path the path, with an optional query
     * @param id the id of the request
     * @return the builder
     */
    public HttpRequest.Builder request(Node node, String path, String id) {
        HttpRequest.Builder request = HttpRequest.newBuilder(node.uri(path)).timeout(Duration.ofSeconds(8));
        PlatformFixtures.callerHeaders(KEY, id).forEach(request::header);
        return request;
    }

    /**
     * Sends a request and waits for the complete response.
     *
     * @param request the request
     * @return the response
     * @throws IOException if the connection fails or the response is incomplete or late
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /**
     * Returns the store of the deployment.
     *
     * @return the stand-in store
     */
    public StoreStandIn store() {
        return store;
    }

    /**
     * Returns the HTTP client that is used for the requests of callers.
     *
     * @return the client, limited to HTTP/1.1
     */
    public HttpClient client() {
        return client;
    }

    @Override
    public void close() {
        nodes.forEach(node -> await(node.vertx().close()));
        linksByNode.values().forEach(NodeLinks::close);
        await(standInVertx.close());
    }
}
