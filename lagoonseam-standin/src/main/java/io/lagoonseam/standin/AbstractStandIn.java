package io.lagoonseam.standin;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.lang.management.ManagementFactory;

/**
 * Base class of HTTP servers that simulate an external system. Faults are set by {@code POST /faults} and counters are
 * read by {@code GET /counters}. All state is confined to one event loop.
 */
public abstract class AbstractStandIn extends VerticleBase {

    private static final long BODY_LIMIT_BYTES = 8L * 1024 * 1024;

    private final String host;
    private final int requestedPort;
    private Router router;
    private HttpServer server;
    private int port;

    /**
     * Creates a stand-in.
     *
     * @param host the IP address or host name to listen on
     * @param port the port to listen on, or 0 for any free port
     */
    protected AbstractStandIn(String host, int port) {
        super();
        this.host = host;
        this.requestedPort = port;
    }

    /**
     * Returns the port that the server listens on. Requires that the verticle is deployed.
     *
     * @return the actual port, also if 0 was requested
     */
    public final int port() {
        return port;
    }

    /**
     * Returns the base URL of the server. Requires that the verticle is deployed.
     *
     * @return an HTTP URL without a path
     */
    public final String url() {
        return "http://" + host + ":" + port();
    }

    @Override
    public final Future<?> start() {
        router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(BODY_LIMIT_BYTES));
        router.post("/faults").handler(this::handleFaults);
        router.get("/counters").handler(this::sendCounters);
        addRoutes(router);
        return listen(requestedPort).onSuccess(listening -> {
            port = listening.actualPort();
            onListening();
        });
    }

    private Future<HttpServer> listen(int onPort) {
        server = vertx.createHttpServer(new HttpServerOptions().setIdleTimeout(0));
        return server.requestHandler(router).listen(onPort, host);
    }

    /**
     * Closes all connections and refuses new ones for some time. Called on the event loop.
     *
     * @param downMillis the time until the server listens on its port again, in milliseconds
     */
    protected final void goDown(long downMillis) {
        server.close();
        vertx.setTimer(Math.max(1, downMillis), timer -> listen(port));
    }

    private void sendCounters(RoutingContext context) {
        long cpuNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        sendJson(context, 200, counters().put("eventLoopCpuNanos", cpuNanos));
    }

    private void handleFaults(RoutingContext context) {
        JsonObject body = context.body().asJsonObject();
        applyFaults(body == null ? new JsonObject() : body);
        sendJson(context, 200, new JsonObject().put("applied", true));
    }

    /**
     * Registers the routes of the simulated system.
     *
     * @param router the router of the server, which already handles {@code /faults} and {@code /counters}
     */
    protected abstract void addRoutes(Router router);

    /**
     * Sets faults. Called on the event loop.
     *
     * @param faults the settings by fault name; a fault whose key is absent keeps its setting, unless the class of the
     *     stand-in states otherwise
     */
    protected abstract void applyFaults(JsonObject faults);

    /**
     * Returns the present values of the counters. Called on the event loop.
     *
     * @return a new object with the values by counter name
     */
    protected abstract JsonObject counters();

    /** Called once the server listens on its port. */
    protected void onListening() {
        // Most stand-ins need no timers or clients.
    }

    /**
     * Sends a JSON response, unless the response has already ended or its connection is closed.
     *
     * @param context the routing context of the request
     * @param status the HTTP status code
     * @param body the response body
     */
    protected static void sendJson(RoutingContext context, int status, JsonObject body) {
        if (context.response().ended() || context.response().closed()) {
            return;
        }
        context.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(body.encode());
    }

    /**
     * Closes the connection of a request without sending a response.
     *
     * @param context the routing context of the request
     */
    protected static void dropConnection(RoutingContext context) {
        context.request().connection().close();
    }
}
