package io.lagoonseam.standin.weightstore;

import io.lagoonseam.standin.AbstractStandIn;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;

/** Hands out weights at a limited rate: {@code GET /weights/MODEL/VERSION} answers once its bytes would have passed. */
public final class WeightStoreStandIn extends AbstractStandIn {

    private static final long DEFAULT_BYTES_PER_SECOND = 2_000_000_000L;
    private static final long DEFAULT_MODEL_BYTES = 200_000_000L;

    private long bytesPerSecond = DEFAULT_BYTES_PER_SECOND;
    private long modelBytes = DEFAULT_MODEL_BYTES;
    private long freeAtNanos = System.nanoTime();
    private long servedBytes;
    private long fetches;
    private boolean failing;

    /**
     * Creates a weight store.
     *
     * @param host the address to listen on
     * @param port the port, or 0 for any free one
     */
    public WeightStoreStandIn(String host, int port) {
        super(host, port);
    }

    @Override
    protected void addRoutes(Router router) {
        router.get("/weights/:model/:version").handler(this::fetch);
    }

    @Override
    protected void applyFaults(JsonObject faults) {
        bytesPerSecond = faults.getLong("bytesPerSecond", bytesPerSecond);
        modelBytes = faults.getLong("modelBytes", modelBytes);
        failing = faults.getBoolean("failing", failing);
    }

    @Override
    protected JsonObject counters() {
        return new JsonObject().put("servedBytes", servedBytes).put("fetches", fetches);
    }

    private void fetch(RoutingContext context) {
        fetches++;
        if (failing) {
            sendJson(context, 503, new JsonObject().put("error", "injected"));
            return;
        }
        long nowNanos = System.nanoTime();
        long durationNanos = (long) (modelBytes * 1e9 / bytesPerSecond);
        freeAtNanos = Math.max(nowNanos, freeAtNanos) + durationNanos;
        long delayMillis = Math.max(1, (freeAtNanos - nowNanos) / 1_000_000);
        vertx.setTimer(delayMillis, timer -> {
            servedBytes += modelBytes;
            sendJson(context, 200, new JsonObject().put("bytes", modelBytes));
        });
    }
}
