package io.lagoonseam.standin.platform;

import io.lagoonseam.standin.AbstractStandIn;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * Simulates a platform with versioned objects, conditional writes, long-poll watches, and a list of VMs whose changes
 * may become visible with a delay.
 *
 * <p>Its routes are {@code GET|PUT|DELETE /objects/NAME}, with {@code If-Match: "VERSION"} or {@code If-None-Match: *}
 * on writes; {@code GET /objects?prefix=P&values=true}; {@code GET /watch?prefix=P&after=REVISION&timeoutMillis=T};
 * {@code GET /vms}; {@code PUT /vms/NAME}.
 *
 * <p>Faults that are set without {@code writesPerSecond} or {@code readsPerSecond} restore the default of that rate
 * limit.
 */
public final class PlatformStandIn extends AbstractStandIn {

    private static final int MAX_VALUE_BYTES = 1_000_000;
    private static final long DEFAULT_WRITES_PER_SECOND = 500;
    private static final long DEFAULT_READS_PER_SECOND = 2_000;
    private static final String OBJECTS = "/objects/";

    private final TreeMap<String, StoredObject> objects = new TreeMap<>();
    private final TreeMap<String, Long> deletions = new TreeMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final TreeMap<String, JsonObject> vms = new TreeMap<>();
    private final RateLimiter writes = new RateLimiter(DEFAULT_WRITES_PER_SECOND);
    private final RateLimiter reads = new RateLimiter(DEFAULT_READS_PER_SECOND);
    private final Random random;
    private long revision;
    private long readCount;
    private long writeCount;
    private long rateLimitedCount;
    private boolean outage;
    private boolean unresponsive;
    private long slowMillis;
    private double lostAnswersShare;
    private long vmListLagMillis;

    /**
     * Creates a platform without objects and VMs.
     *
     * @param host the IP address or host name to listen on
     * @param port the port to listen on, or 0 for any free port
     * @param seed the seed of the random faults
     */
    public PlatformStandIn(String host, int port, long seed) {
        super(host, port);
        this.random = new Random(seed);
    }

    private record Watch(String prefix, long after, RoutingContext context) {}

    @Override
    protected void addRoutes(Router router) {
        router.get("/objects").handler(context -> admitRead(context, () -> list(context)));
        router.get("/objects/*").handler(context -> admitRead(context, () -> read(context)));
        router.put("/objects/*").handler(context -> admitWrite(context, () -> write(context)));
        router.delete("/objects/*").handler(context -> admitWrite(context, () -> write(context)));
        router.get("/watch").handler(context -> admitRead(context, () -> watch(context)));
        router.get("/vms").handler(context -> admitRead(context, () -> listVms(context)));
        router.put("/vms/:name").handler(this::putVm);
    }

    @Override
    protected void applyFaults(JsonObject faults) {
        outage = faults.getBoolean("outage", outage);
        unresponsive = faults.getBoolean("hanging", unresponsive);
        slowMillis = faults.getLong("slowMillis", slowMillis);
        lostAnswersShare = faults.getDouble("loseAnswersShare", lostAnswersShare);
        vmListLagMillis = faults.getLong("vmListLagMillis", vmListLagMillis);
        writes.limitPerSecond(faults.getLong("writesPerSecond", DEFAULT_WRITES_PER_SECOND));
        reads.limitPerSecond(faults.getLong("readsPerSecond", DEFAULT_READS_PER_SECOND));
        if (outage) {
            List<Watch> dropped = List.copyOf(watches);
            watches.clear();
            dropped.forEach(watch -> dropConnection(watch.context()));
        }
    }

    @Override
    protected JsonObject counters() {
        return new JsonObject()
                .put("reads", readCount)
                .put("writes", writeCount)
                .put("rateLimited", rateLimitedCount)
                .put("watches", watches.size())
                .put("objects", objects.size());
    }

    private void admitRead(RoutingContext context, Runnable action) {
        readCount++;
        admit(context, reads, action);
    }

    private void admitWrite(RoutingContext context, Runnable action) {
        writeCount++;
        admit(context, writes, action);
    }

    private void admit(RoutingContext context, RateLimiter limiter, Runnable action) {
        if (unresponsive) {
            return;
        }
        if (outage) {
            sendJson(context, 503, new JsonObject().put("error", "outage"));
            return;
        }
        if (!limiter.tryAcquire(System.nanoTime() / 1_000_000)) {
            rateLimitedCount++;
            context.response().putHeader("Retry-After", "1");
            sendJson(context, 429, new JsonObject().put("error", "too many calls"));
            return;
        }
        if (slowMillis > 0) {
            vertx.setTimer(slowMillis, timer -> action.run());
        } else {
            action.run();
        }
    }

    private static String objectName(RoutingContext context) {
        return context.normalizedPath().substring(OBJECTS.length());
    }

    private static String etag(long version) {
        return "\"" + version + "\"";
    }

    private void read(RoutingContext context) {
        StoredObject stored = objects.get(objectName(context));
        if (stored == null) {
            sendJson(context, 404, new JsonObject().put("error", "no such object"));
            return;
        }
        context.response().putHeader("ETag", etag(stored.version())).end(stored.value());
    }

    private void list(RoutingContext context) {
        String prefix = context.request().getParam("prefix", "");
        boolean values = Boolean.parseBoolean(context.request().getParam("values", "false"));
        JsonArray found = new JsonArray();
        for (Map.Entry<String, StoredObject> entry :
                objects.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            JsonObject item = new JsonObject()
                    .put("name", entry.getKey())
                    .put("version", entry.getValue().version());
            if (values) {
                item.put("value", entry.getValue().value().toString());
            }
            found.add(item);
        }
        sendJson(context, 200, new JsonObject().put("revision", revision).put("objects", found));
    }

    private void write(RoutingContext context) {
        String name = objectName(context);
        Buffer value = context.body().buffer() == null
                ? Buffer.buffer()
                : context.body().buffer();
        if (value.length() > MAX_VALUE_BYTES) {
            sendJson(context, 413, new JsonObject().put("error", "value over one megabyte"));
            return;
        }
        StoredObject stored = objects.get(name);
        if (!conditionHolds(context, stored)) {
            if (stored != null) {
                context.response().putHeader("ETag", etag(stored.version()));
            }
            sendJson(context, 412, new JsonObject().put("error", "condition does not hold"));
            return;
        }
        revision++;
        if (context.request().method().equals(HttpMethod.DELETE)) {
            objects.remove(name);
            deletions.put(name, revision);
        } else {
            objects.put(name, new StoredObject(revision, value));
            deletions.remove(name);
        }
        completeWatches(name);
        respondToWrite(context, revision);
    }

    private static boolean conditionHolds(RoutingContext context, StoredObject stored) {
        String ifMatch = context.request().getHeader("If-Match");
        if (ifMatch != null && (stored == null || !etag(stored.version()).equals(ifMatch))) {
            return false;
        }
        String ifNoneMatch = context.request().getHeader("If-None-Match");
        return ifNoneMatch == null || stored == null;
    }

    private void respondToWrite(RoutingContext context, long version) {
        if (random.nextDouble() < lostAnswersShare) {
            dropConnection(context);
            return;
        }
        context.response().putHeader("ETag", etag(version));
        sendJson(context, 200, new JsonObject().put("version", version));
    }

    private void watch(RoutingContext context) {
        String prefix = context.request().getParam("prefix", "");
        long after = Long.parseLong(context.request().getParam("after", "0"));
        long timeoutMillis = Long.parseLong(context.request().getParam("timeoutMillis", "20000"));
        JsonArray changes = changesSince(prefix, after);
        if (!changes.isEmpty()) {
            respondToWatch(context, changes);
            return;
        }
        Watch watch = new Watch(prefix, after, context);
        watches.add(watch);
        context.response().closeHandler(closed -> watches.remove(watch));
        vertx.setTimer(Math.max(1, timeoutMillis), timer -> {
            if (watches.remove(watch)) {
                respondToWatch(context, new JsonArray());
            }
        });
    }

    private JsonArray changesSince(String prefix, long after) {
        JsonArray changes = new JsonArray();
        for (Map.Entry<String, StoredObject> entry :
                objects.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getValue().version() > after) {
                changes.add(change(entry.getKey(), entry.getValue().version(), false));
            }
        }
        for (Map.Entry<String, Long> entry : deletions.tailMap(prefix, true).entrySet()) {
            if (entry.getKey().startsWith(prefix) && entry.getValue() > after) {
                changes.add(change(entry.getKey(), entry.getValue(), true));
            }
        }
        return changes;
    }

    private static JsonObject change(String name, long version, boolean deleted) {
        return new JsonObject().put("name", name).put("version", version).put("deleted", deleted);
    }

    private void respondToWatch(RoutingContext context, JsonArray changes) {
        sendJson(context, 200, new JsonObject().put("revision", revision).put("changes", changes));
    }

    private void completeWatches(String name) {
        List<Watch> matching = watches.stream()
                .filter(watch -> name.startsWith(watch.prefix()))
                .toList();
        watches.removeAll(matching);
        matching.forEach(watch -> respondToWatch(watch.context(), changesSince(watch.prefix(), watch.after())));
    }

    private void listVms(RoutingContext context) {
        JsonArray list = new JsonArray();
        vms.values().forEach(list::add);
        sendJson(context, 200, new JsonObject().put("vms", list));
    }

    private void putVm(RoutingContext context) {
        JsonObject vm = context.body().asJsonObject().put("name", context.pathParam("name"));
        Runnable change = () -> {
            if ("gone".equals(vm.getString("state"))) {
                vms.remove(vm.getString("name"));
            } else {
                vms.put(vm.getString("name"), vm);
            }
        };
        if (vmListLagMillis > 0) {
            vertx.setTimer(vmListLagMillis, timer -> change.run());
        } else {
            change.run();
        }
        sendJson(context, 200, vm);
    }
}
