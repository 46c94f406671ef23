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

/** An HTTP server with switchable faults and readable counters. All its state belongs to one event loop. */
public abstract class AbstractStandIn extends VerticleBase {

    private static final long BODY_LIMIT_BYTES = 8L * 1024 * 1024;

    private final String host;
    private final int requestedPort;
    private HttpServer server;

    /**
     * Creates a stand-in.
     *
     * @param host the address to listen on
     * @param port the port, or 0 for any free one
     */
    protected AbstractStandIn(String host, int port) {
        super();
        this.host = host;
        this.requestedPort = port;
    }

    /**
     * Returns the port, once deployed.
     *
     * @return the port that the server listens on
     */
    public final int port() {
        return server.actualPort();
    }

    /**
     * Returns the address of the stand-in, once deployed.
     *
     * @return a URL without a path
     */
    public final String url() {
        return "http://" + host + ":" + port();
    }

    @Override
    public final Future<?> start() {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(BODY_LIMIT_BYTES));
        router.post("/faults").handler(this::switchFaults);
        router.get("/counters").handler(this::readCounters);
        addRoutes(router);
        server = vertx.createHttpServer(new HttpServerOptions().setIdleTimeout(0));
        return server.requestHandler(router).listen(requestedPort, host).onSuccess(ready -> started());
    }

    private void readCounters(RoutingContext context) {
        long cpuNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        sendJson(context, 200, counters().put("eventLoopCpuNanos", cpuNanos));
    }

    private void switchFaults(RoutingContext context) {
        JsonObject body = context.body().asJsonObject();
        applyFaults(body == null ? new JsonObject() : body);
        sendJson(context, 200, new JsonObject().put("applied", true));
    }

    /**
     * Adds the stand-in's own routes.
     *
     * @param router the router of the server
     */
    protected abstract void addRoutes(Router router);

    /**
     * Switches faults on or off; keys that are absent stay as they are.
     *
     * @param faults the faults by name
     */
    protected abstract void applyFaults(JsonObject faults);

    /**
     * Returns the counters.
     *
     * @return counters by name
     */
    protected abstract JsonObject counters();

    /** Called once the server listens. */
    protected void started() {
        // Most stand-ins have nothing to start.
    }

    /**
     * Answers with JSON.
     *
     * @param context the request
     * @param status the HTTP status
     * @param body the answer
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
     * Closes the connection of a request without an answer.
     *
     * @param context the request
     */
    protected static void dropConnection(RoutingContext context) {
        context.request().connection().close();
    }
}
