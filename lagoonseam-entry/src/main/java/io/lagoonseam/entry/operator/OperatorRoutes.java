package io.lagoonseam.entry.operator;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.entry.configuration.ActiveConfiguration;
import io.lagoonseam.entry.dispatch.Dispatcher;
import io.lagoonseam.entry.settings.EntrySettings;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.Map;
import java.util.function.BooleanSupplier;

/** The HTTP routes of the operators' interface: health, readiness, metrics and status. */
public final class OperatorRoutes {

    private static final double NANOS_PER_MILLI = 1e6;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final EntrySettings settings;
    private final ActiveConfiguration configuration;
    private final Dispatcher dispatcher;
    private final InvariantMonitor invariants;
    private final MetricRegistry registry;
    private final BooleanSupplier ready;

    /**
     * Creates the routes.
     *
     * @param settings the node's settings
     * @param configuration the configuration in force
     * @param dispatcher runs the requests
     * @param invariants the monitor of invariants at run time
     * @param registry the registry of the node's metrics
     * @param ready returns whether the load balancer should send requests to this node
     */
    public OperatorRoutes(
            EntrySettings settings,
            ActiveConfiguration configuration,
            Dispatcher dispatcher,
            InvariantMonitor invariants,
            MetricRegistry registry,
            BooleanSupplier ready) {
        this.settings = settings;
        this.configuration = configuration;
        this.dispatcher = dispatcher;
        this.invariants = invariants;
        this.registry = registry;
        this.ready = ready;
    }

    /**
     * Builds the router.
     *
     * @param vertx the Vert.x instance
     * @return the router
     */
    public Router router(Vertx vertx) {
        Router router = Router.router(vertx);
        router.get("/healthz").handler(context -> send(context, OK, new JsonObject().put("alive", true)));
        router.get("/readyz").handler(this::readiness);
        router.get("/metrics").handler(context -> send(context, OK, metrics()));
        router.get("/status").handler(context -> send(context, OK, status()));
        return router;
    }

    private static void send(RoutingContext context, int status, JsonObject body) {
        context.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(body.encode());
    }

    private void readiness(RoutingContext context) {
        boolean isReady = ready.getAsBoolean();
        send(context, isReady ? OK : UNAVAILABLE, new JsonObject().put("ready", isReady));
    }

    private JsonObject status() {
        JsonObject violations = new JsonObject();
        for (Invariant invariant : Invariant.values()) {
            violations.put(invariant.name(), invariants.violations(invariant));
        }
        JsonObject status = new JsonObject()
                .put("nodeId", settings.nodeId())
                .put("dataCentre", settings.dataCentre())
                .put("ready", ready.getAsBoolean())
                .put("inFlight", dispatcher.inFlight())
                .put("invariantViolations", violations);
        configuration
                .current()
                .ifPresent(generation -> status.put("generation", generation.number())
                        .put("author", generation.author())
                        .put("reason", generation.reason())
                        .put("appliedAtMillis", generation.appliedAtMillis()));
        return status;
    }

    private JsonObject metrics() {
        JsonObject all = new JsonObject();
        for (Map.Entry<String, Metric> entry : registry.getMetrics().entrySet()) {
            all.put(entry.getKey(), value(entry.getValue()));
        }
        return all;
    }

    private static Object value(Metric metric) {
        if (metric instanceof Gauge<?> gauge) {
            return gauge.getValue();
        }
        JsonObject value = new JsonObject();
        if (metric instanceof Counting counting) {
            value.put("count", counting.getCount());
        }
        if (metric instanceof Sampling sampling) {
            Snapshot snapshot = sampling.getSnapshot();
            value.put("p50Millis", snapshot.getMedian() / NANOS_PER_MILLI)
                    .put("p95Millis", snapshot.get95thPercentile() / NANOS_PER_MILLI)
                    .put("p99Millis", snapshot.get99thPercentile() / NANOS_PER_MILLI);
        }
        return value;
    }
}
