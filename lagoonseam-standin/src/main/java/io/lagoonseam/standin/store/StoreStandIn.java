package io.lagoonseam.standin.store;

import io.lagoonseam.standin.AbstractStandIn;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Objects by kind and name with one revision counter, conditional calls and watches. Its faults are outages (with an
 * answer or silent), lost answers of writes, callers that are turned away, a rate limit and a forgotten history.
 */
public final class StoreStandIn extends AbstractStandIn {

    private static final int PAGE = 500;
    private static final int HISTORY = 10_000;
    private static final long SECOND_MILLIS = 1_000;

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;

    private final Map<String, TreeMap<String, JsonObject>> kinds = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private final Set<String> refusedHosts = new HashSet<>();
    private long revision = 1;
    private long forgottenUpTo;
    private boolean busy;
    private boolean silent;
    private boolean losesWriteAnswers;
    private long callsPerSecond = Long.MAX_VALUE;
    private long secondBegunMillis;
    private long callsThisSecond;
    private long calls;

    private record Change(long revision, String kind, JsonObject object, boolean removed) {}

    private record Waiting(RoutingContext context, String kind, long after, long timer) {}

    /**
     * Creates a store without objects.
     *
     * @param host the address to listen on
     * @param port the port, or 0 for any free one
     */
    public StoreStandIn(String host, int port) {
        super(host, port);
    }

    @Override
    protected void addRoutes(Router router) {
        router.route("/objects/*").handler(this::admit);
        router.get("/objects/:kind").handler(this::listOrWatch);
        router.post("/objects/:kind").handler(this::create);
        router.get("/objects/:kind/:name").handler(this::read);
        router.put("/objects/:kind/:name").handler(context -> replace(context, "spec"));
        router.put("/objects/:kind/:name/status").handler(context -> replace(context, "status"));
        router.delete("/objects/:kind/:name").handler(this::delete);
    }

    private void admit(RoutingContext context) {
        calls++;
        long nowMillis = System.currentTimeMillis();
        if (nowMillis - secondBegunMillis >= SECOND_MILLIS) {
            secondBegunMillis = nowMillis;
            callsThisSecond = 0;
        }
        callsThisSecond++;
        if (silent) {
            return;
        }
        if (busy || refusedHosts.contains(context.request().remoteAddress().host())) {
            sendJson(context, UNAVAILABLE, new JsonObject());
        } else if (callsThisSecond > callsPerSecond) {
            sendJson(context, TOO_MANY, new JsonObject());
        } else {
            context.next();
        }
    }

    private TreeMap<String, JsonObject> kind(String name) {
        return kinds.computeIfAbsent(name, key -> new TreeMap<>());
    }

    private void listOrWatch(RoutingContext context) {
        String kind = context.pathParam("kind");
        String watch = context.request().getParam("watch");
        if (watch != null) {
            watch(context, kind, Long.parseLong(watch));
            return;
        }
        String after = context.request().getParam("after_revision");
        Map<String, JsonObject> rest = after == null ? kind(kind) : kind(kind).tailMap(after, false);
        JsonArray items = new JsonArray();
        rest.values().stream().limit(PAGE).forEach(items::add);
        sendJson(
                context,
                OK,
                new JsonObject()
                        .put("items", items)
                        .put("more", rest.size() > PAGE)
                        .put("current_rev", revision));
    }

    private void watch(RoutingContext context, String kind, long after) {
        if (after < forgottenUpTo) {
            sendJson(context, GONE, new JsonObject());
            return;
        }
        String waitText = context.request().getParam("wait_ms");
        long waitMillis = waitText == null ? 0 : Long.parseLong(waitText);
        if (waitMillis <= 0 || !changes(kind, after).isEmpty()) {
            sendChanges(context, kind, after);
            return;
        }
        long timer = vertx.setTimer(waitMillis, fired -> {
            waiting.removeIf(entry -> entry.context.equals(context));
            if (!silent) {
                sendChanges(context, kind, after);
            }
        });
        waiting.add(new Waiting(context, kind, after, timer));
    }

    private List<Change> changes(String kind, long after) {
        return history.stream()
                .filter(change -> change.revision > after && change.kind.equals(kind))
                .toList();
    }

    private void sendChanges(RoutingContext context, String kind, long after) {
        JsonArray events = new JsonArray();
        changes(kind, after)
                .forEach(change -> events.add(
                        new JsonObject().put("removed", change.removed).put("object", change.object)));
        sendJson(context, OK, new JsonObject().put("events", events).put("current_rev", revision));
    }

    private void create(RoutingContext context) {
        JsonObject body = context.body().asJsonObject();
        String name = body.getJsonObject("metadata", new JsonObject()).getString("name");
        if (name == null) {
            sendJson(context, BAD_REQUEST, new JsonObject());
            return;
        }
        JsonObject known = kind(context.pathParam("kind")).get(name);
        if (known != null) {
            sendJson(context, CONFLICT, known);
            return;
        }
        written(context, put(context.pathParam("kind"), name, body.getValue("spec")));
    }

    /**
     * Writes an object as the operator or a worker would.
     *
     * @param kind its kind
     * @param name its name
     * @param spec its content
     * @return the object
     */
    public JsonObject put(String kind, String name, Object spec) {
        JsonObject known = kind(kind).get(name);
        revision++;
        long created =
                known == null ? revision : known.getJsonObject("metadata").getLong("create_rev");
        JsonObject object = new JsonObject()
                .put(
                        "metadata",
                        new JsonObject()
                                .put("name", name)
                                .put("revision", revision)
                                .put("create_rev", created)
                                .put("finalizers", new JsonArray())
                                .put("deleting", false))
                .put("spec", spec)
                .put("status", known == null ? null : known.getValue("status"));
        kind(kind).put(name, object);
        changed(new Change(revision, kind, object, false));
        return object;
    }

    /**
     * Removes an object as the platform would.
     *
     * @param kind its kind
     * @param name its name
     */
    public void remove(String kind, String name) {
        JsonObject known = kind(kind).remove(name);
        if (known != null) {
            revision++;
            JsonObject removed = known.copy();
            removed.getJsonObject("metadata").put("revision", revision);
            changed(new Change(revision, kind, removed, true));
        }
    }

    private void changed(Change change) {
        history.add(change);
        if (history.size() > HISTORY) {
            forgottenUpTo = history.remove(0).revision;
        }
        if (silent) {
            return;
        }
        for (Waiting entry : List.copyOf(waiting)) {
            if (entry.kind.equals(change.kind)) {
                waiting.remove(entry);
                vertx.cancelTimer(entry.timer);
                sendChanges(entry.context, entry.kind, entry.after);
            }
        }
    }

    private void read(RoutingContext context) {
        JsonObject known = kind(context.pathParam("kind")).get(context.pathParam("name"));
        sendJson(context, known == null ? NOT_FOUND : OK, known == null ? new JsonObject() : known);
    }

    private void replace(RoutingContext context, String part) {
        String kind = context.pathParam("kind");
        String name = context.pathParam("name");
        JsonObject known = kind(kind).get(name);
        JsonObject body = context.body().asJsonObject();
        if (known == null) {
            sendJson(context, NOT_FOUND, new JsonObject());
            return;
        }
        JsonObject metadata = body.getJsonObject("metadata", new JsonObject());
        if (conflicts(context, known, metadata.getLong("revision"))) {
            return;
        }
        if (String.valueOf(known.getValue(part)).equals(String.valueOf(body.getValue(part)))) {
            written(context, known);
            return;
        }
        JsonObject changed = known.copy();
        revision++;
        changed.put(part, body.getValue(part)).getJsonObject("metadata").put("revision", revision);
        kind(kind).put(name, changed);
        changed(new Change(revision, kind, changed, false));
        written(context, changed);
    }

    private boolean conflicts(RoutingContext context, JsonObject known, Long expected) {
        String asked = context.request().getParam("revision");
        Long wanted = asked == null ? expected : Long.valueOf(asked);
        if (wanted == null || wanted.equals(known.getJsonObject("metadata").getLong("revision"))) {
            return false;
        }
        sendJson(context, CONFLICT, known);
        return true;
    }

    private void delete(RoutingContext context) {
        JsonObject known = kind(context.pathParam("kind")).get(context.pathParam("name"));
        if (known == null) {
            sendJson(context, NOT_FOUND, new JsonObject());
        } else if (!conflicts(context, known, null)) {
            remove(context.pathParam("kind"), context.pathParam("name"));
            written(context, known);
        }
    }

    private void written(RoutingContext context, JsonObject object) {
        if (losesWriteAnswers) {
            dropConnection(context);
        } else {
            sendJson(context, OK, object);
        }
    }

    @Override
    protected void applyFaults(JsonObject faults) {
        busy = faults.getBoolean("busy", busy);
        silent = faults.getBoolean("silent", silent);
        losesWriteAnswers = faults.getBoolean("losesWriteAnswers", losesWriteAnswers);
        callsPerSecond = faults.getLong("callsPerSecond", callsPerSecond);
        if (faults.containsKey("refusedHosts")) {
            refusedHosts.clear();
            faults.getJsonArray("refusedHosts").forEach(host -> refusedHosts.add((String) host));
        }
        if (faults.getBoolean("forgetHistory", false)) {
            forgottenUpTo = revision;
            history.clear();
        }
        if (busy || silent || faults.getBoolean("cutWatches", false)) {
            List.copyOf(waiting).forEach(entry -> {
                vertx.cancelTimer(entry.timer);
                if (!silent) {
                    dropConnection(entry.context);
                }
            });
            waiting.clear();
        }
    }

    /**
     * Switches faults from a test; keys that are absent stay as they are.
     *
     * @param faults the faults by name
     */
    public void faults(JsonObject faults) {
        context.runOnContext(nothing -> applyFaults(faults));
    }

    /**
     * Runs a change on the store's event loop.
     *
     * @param change the change
     */
    public void run(Runnable change) {
        context.runOnContext(nothing -> change.run());
    }

    @Override
    protected JsonObject counters() {
        return new JsonObject().put("calls", calls).put("revision", revision);
    }
}
