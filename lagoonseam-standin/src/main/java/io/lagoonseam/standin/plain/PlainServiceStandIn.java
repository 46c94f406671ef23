package io.lagoonseam.standin.plain;

import io.lagoonseam.standin.AbstractStandIn;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * Simulates a plain service that performs one action per request and counts the actions by {@code Idempotency-Key}.
 * {@code GET /actions} returns the counts of all keys, {@code GET /actions/KEY} the count of one key.
 */
public final class PlainServiceStandIn extends AbstractStandIn {

    private final Map<String, Integer> actions = new TreeMap<>();
    private final Random random;
    private long unkeyedActions;
    private long actionMillis = 5;
    private double dropBeforeShare;
    private double dropAfterShare;
    private double errorShare;

    /**
     * Creates a plain service that has performed no actions.
     *
     * @param host the IP address or host name to listen on
     * @param port the port to listen on, or 0 for any free port
     * @param seed the seed of the random faults
     */
    public PlainServiceStandIn(String host, int port, long seed) {
        super(host, port);
        this.random = new Random(seed);
    }

    @Override
    protected void addRoutes(Router router) {
        router.get("/actions").handler(context -> sendJson(context, 200, actionCounts()));
        router.get("/actions/:key").handler(this::sendActionStatus);
        router.get("/load").handler(context -> sendJson(context, 200, new JsonObject().put("waiting", 0)));
        router.route().handler(this::perform);
    }

    @Override
    protected void applyFaults(JsonObject faults) {
        actionMillis = faults.getLong("actionMillis", actionMillis);
        dropBeforeShare = faults.getDouble("dropBeforeShare", dropBeforeShare);
        dropAfterShare = faults.getDouble("dropAfterShare", dropAfterShare);
        errorShare = faults.getDouble("errorShare", errorShare);
    }

    @Override
    protected JsonObject counters() {
        long keyedTotal =
                actions.values().stream().mapToLong(Integer::longValue).sum();
        long keysRunTwice = actions.values().stream().filter(count -> count > 1).count();
        return new JsonObject()
                .put("keyedActions", keyedTotal)
                .put("unkeyedActions", unkeyedActions)
                .put("keysRunTwice", keysRunTwice);
    }

    private JsonObject actionCounts() {
        JsonObject counts = new JsonObject();
        actions.forEach(counts::put);
        return counts;
    }

    private void sendActionStatus(RoutingContext context) {
        String key = context.pathParam("key");
        int count = actions.getOrDefault(key, 0);
        sendJson(
                context,
                200,
                new JsonObject().put("key", key).put("ran", count > 0).put("times", count));
    }

    private void perform(RoutingContext context) {
        if (random.nextDouble() < dropBeforeShare) {
            dropConnection(context);
            return;
        }
        if (random.nextDouble() < errorShare) {
            sendJson(context, 500, new JsonObject().put("error", "injected"));
            return;
        }
        vertx.setTimer(Math.max(1, actionMillis), timer -> completeAction(context));
    }

    private void completeAction(RoutingContext context) {
        String key = context.request().getHeader("Idempotency-Key");
        if (key == null) {
            unkeyedActions++;
        } else {
            actions.merge(key, 1, Integer::sum);
        }
        if (random.nextDouble() < dropAfterShare) {
            dropConnection(context);
            return;
        }
        String requestId = context.request().getHeader("X-Request-Id");
        if (requestId != null) {
            context.response().putHeader("X-Request-Id", requestId);
        }
        sendJson(
                context,
                200,
                new JsonObject().put("performed", context.normalizedPath()).put("key", key));
    }
}
