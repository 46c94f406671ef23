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
 * Simulates an object store with objects by kind and name, one revision counter, optimistic locking and watches. Its
 * faults are outages (with status 503 or without any response), lost responses of writes, refused hosts, a rate limit,
 * closed watches and a compacted history.
 */
public final class StoreStandIn extends AbstractStandIn {

    private static final int DEFAULT_PAGE_SIZE = 500;
    private static final int MAX_PAGE_CHARACTERS = 1 << 20;
    private static final int MAX_HISTORY_CHANGES = 10_000;
    private static final long RATE_WINDOW_MILLIS = 1_000;

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private final Map<String, TreeMap<String, JsonObject>> kinds = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final List<PendingWatch> pendingWatches = new ArrayList<>();
    private final Set<String> refusedHosts = new HashSet<>();
    private long revision = 1;
    private long compactedRevision;
    private boolean unavailable;
    private boolean unresponsive;
    private boolean dropsWriteResponses;
    private long callsPerSecond = Long.MAX_VALUE;
    private long windowStartMillis;
    private long callsInWindow;
    private long calls;
    private int pageSize = DEFAULT_PAGE_SIZE;
    private long listDelayMillis;
    private long era;
    private String eraHeader;
    private Copy copy;

    /** A copy of the store, which a later restore brings back. */
    private record Copy(Map<String, TreeMap<String, JsonObject>> kinds, long revision) {}

    private record Change(long revision, String kind, JsonObject object, boolean removed) {}

    private record PendingWatch(RoutingContext context, String kind, long after, long timer) {}

    /**
     * Creates an empty store.
     *
     * @param host the IP address or host name to listen on
     * @param port the port to listen on, or 0 for any free port
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
        if (nowMillis - windowStartMillis >= RATE_WINDOW_MILLIS) {
            windowStartMillis = nowMillis;
            callsInWindow = 0;
        }
        callsInWindow++;
        context.response().putHeader("Store-Era", eraHeader == null ? Long.toString(era) : eraHeader);
        if (unresponsive) {
            return;
        }
        if (unavailable
                || refusedHosts.contains(context.request().remoteAddress().host())) {
            sendJson(context, UNAVAILABLE, new JsonObject());
        } else if (callsInWindow > callsPerSecond) {
            sendJson(context, TOO_MANY_REQUESTS, new JsonObject());
        } else {
            context.next();
        }
    }

    private TreeMap<String, JsonObject> objectsOfKind(String name) {
        return kinds.computeIfAbsent(name, key -> new TreeMap<>());
    }

    private void listOrWatch(RoutingContext context) {
        String kind = context.pathParam("kind");
        String watch = context.request().getParam("watch");
        if (watch != null) {
            watch(context, kind, Long.parseLong(watch));
        } else if (listDelayMillis > 0) {
            vertx.setTimer(listDelayMillis, fired -> list(context, kind));
        } else {
            list(context, kind);
        }
    }

    private void list(RoutingContext context, String kind) {
        String after = context.request().getParam("after_revision");
        Map<String, JsonObject> remaining =
                after == null ? objectsOfKind(kind) : objectsOfKind(kind).tailMap(after, false);
        JsonArray items = new JsonArray();
        long characters = 0;
        for (JsonObject object : remaining.values()) {
            characters += object.encode().length();
            if (items.size() == pageSize || !items.isEmpty() && characters > MAX_PAGE_CHARACTERS) {
                break;
            }
            items.add(object);
        }
        sendJson(
                context,
                OK,
                new JsonObject()
                        .put("items", items)
                        .put("more", remaining.size() > items.size())
                        .put("current_rev", revision));
    }

    private void watch(RoutingContext context, String kind, long after) {
        if (after < compactedRevision || after > revision) {
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
            pendingWatches.removeIf(watch -> watch.context.equals(context));
            if (!unresponsive) {
                sendChanges(context, kind, after);
            }
        });
        pendingWatches.add(new PendingWatch(context, kind, after, timer));
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
        JsonObject existing = objectsOfKind(context.pathParam("kind")).get(name);
        if (existing != null) {
            sendJson(context, CONFLICT, existing);
            return;
        }
        respondToWrite(context, put(context.pathParam("kind"), name, body.getValue("spec")));
    }

    /**
     * Creates or replaces an object without a revision check, as an operator or a worker would. Call it on the event
     * loop, see {@link #runOnEventLoop}.
     *
     * @param kind the kind of the object
     * @param name the name of the object
     * @param spec the content of the object
     * @return the stored object
     */
    public JsonObject put(String kind, String name, Object spec) {
        JsonObject existing = objectsOfKind(kind).get(name);
        revision++;
        long created =
                existing == null ? revision : existing.getJsonObject("metadata").getLong("create_rev");
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
                .put("status", existing == null ? null : existing.getValue("status"));
        objectsOfKind(kind).put(name, object);
        recordChange(new Change(revision, kind, object, false));
        return object;
    }

    /**
     * Removes an object if it exists, as the platform would. Call it on the event loop, see {@link #runOnEventLoop}.
     *
     * @param kind the kind of the object
     * @param name the name of the object
     */
    public void remove(String kind, String name) {
        JsonObject existing = objectsOfKind(kind).remove(name);
        if (existing != null) {
            revision++;
            JsonObject removed = existing.copy();
            removed.getJsonObject("metadata").put("revision", revision);
            recordChange(new Change(revision, kind, removed, true));
        }
    }

    private void recordChange(Change change) {
        history.add(change);
        if (history.size() > MAX_HISTORY_CHANGES) {
            compactedRevision = history.remove(0).revision;
        }
        if (unresponsive) {
            return;
        }
        for (PendingWatch watch : List.copyOf(pendingWatches)) {
            if (watch.kind.equals(change.kind)) {
                pendingWatches.remove(watch);
                vertx.cancelTimer(watch.timer);
                sendChanges(watch.context, watch.kind, watch.after);
            }
        }
    }

    private void read(RoutingContext context) {
        JsonObject existing = objectsOfKind(context.pathParam("kind")).get(context.pathParam("name"));
        sendJson(context, existing == null ? NOT_FOUND : OK, existing == null ? new JsonObject() : existing);
    }

    private void replace(RoutingContext context, String field) {
        String kind = context.pathParam("kind");
        String name = context.pathParam("name");
        JsonObject existing = objectsOfKind(kind).get(name);
        JsonObject body = context.body().asJsonObject();
        if (existing == null) {
            sendJson(context, NOT_FOUND, new JsonObject());
            return;
        }
        JsonObject metadata = body.getJsonObject("metadata", new JsonObject());
        if (rejectConflict(context, existing, metadata.getLong("revision"))) {
            return;
        }
        if (String.valueOf(existing.getValue(field)).equals(String.valueOf(body.getValue(field)))) {
            respondToWrite(context, existing);
            return;
        }
        JsonObject changed = existing.copy();
        revision++;
        changed.put(field, body.getValue(field)).getJsonObject("metadata").put("revision", revision);
        objectsOfKind(kind).put(name, changed);
        recordChange(new Change(revision, kind, changed, false));
        respondToWrite(context, changed);
    }

    private boolean rejectConflict(RoutingContext context, JsonObject existing, Long bodyRevision) {
        String requestedRevision = context.request().getParam("revision");
        Long expectedRevision = requestedRevision == null ? bodyRevision : Long.valueOf(requestedRevision);
        if (expectedRevision == null
                || expectedRevision.equals(existing.getJsonObject("metadata").getLong("revision"))) {
            return false;
        }
        sendJson(context, CONFLICT, existing);
        return true;
    }

    private void delete(RoutingContext context) {
        JsonObject existing = objectsOfKind(context.pathParam("kind")).get(context.pathParam("name"));
        if (existing == null) {
            sendJson(context, NOT_FOUND, new JsonObject());
        } else if (!rejectConflict(context, existing, null)) {
            remove(context.pathParam("kind"), context.pathParam("name"));
            respondToWrite(context, existing);
        }
    }

    private void respondToWrite(RoutingContext context, JsonObject object) {
        if (dropsWriteResponses) {
            dropConnection(context);
        } else {
            sendJson(context, OK, object);
        }
    }

    @Override
    protected void applyFaults(JsonObject faults) {
        unavailable = faults.getBoolean("busy", unavailable);
        unresponsive = faults.getBoolean("silent", unresponsive);
        dropsWriteResponses = faults.getBoolean("losesWriteAnswers", dropsWriteResponses);
        callsPerSecond = faults.getLong("callsPerSecond", callsPerSecond);
        pageSize = faults.getInteger("pageSize", pageSize);
        listDelayMillis = faults.getLong("listDelayMillis", listDelayMillis);
        if (faults.containsKey("refusedHosts")) {
            refusedHosts.clear();
            faults.getJsonArray("refusedHosts").forEach(host -> refusedHosts.add((String) host));
        }
        if (faults.getBoolean("forgetHistory", false)) {
            compactedRevision = revision;
            history.clear();
        }
        eraHeader = faults.getString("eraHeader", eraHeader);
        if (faults.getBoolean("takeCopy", false)) {
            copy = new Copy(copyOfKinds(kinds), revision);
        }
        if (faults.getBoolean("restoreCopy", false) && copy != null) {
            kinds.clear();
            kinds.putAll(copyOfKinds(copy.kinds));
            history.clear();
            revision = copy.revision;
            compactedRevision = copy.revision;
            era++;
        }
        if (unavailable
                || unresponsive
                || faults.getBoolean("restoreCopy", false)
                || faults.getBoolean("cutWatches", false)) {
            List.copyOf(pendingWatches).forEach(watch -> {
                vertx.cancelTimer(watch.timer);
                if (!unresponsive) {
                    dropConnection(watch.context);
                }
            });
            pendingWatches.clear();
        }
    }

    private static Map<String, TreeMap<String, JsonObject>> copyOfKinds(Map<String, TreeMap<String, JsonObject>> from) {
        Map<String, TreeMap<String, JsonObject>> copied = new TreeMap<>();
        from.forEach((kind, objects) -> {
            TreeMap<String, JsonObject> objectCopies = new TreeMap<>();
            objects.forEach((name, object) -> objectCopies.put(name, object.copy()));
            copied.put(kind, objectCopies);
        });
        return copied;
    }

    /**
     * Sets faults on the event loop of the store. May be called from any thread; returns before the faults are in
     * effect.
     *
     * @param faults the settings by fault name; a fault whose key is absent keeps its setting
     */
    public void setFaults(JsonObject faults) {
        context.runOnContext(nothing -> applyFaults(faults));
    }

    /**
     * Runs a change on the event loop of the store. May be called from any thread; returns before the change has run.
     *
     * @param change the change, which may call {@link #put} and {@link #remove}
     */
    public void runOnEventLoop(Runnable change) {
        context.runOnContext(nothing -> change.run());
    }

    @Override
    protected JsonObject counters() {
        return new JsonObject().put("calls", calls).put("revision", revision);
    }
}
