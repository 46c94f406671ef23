package io.lagoonseam.standin.engine;

import io.lagoonseam.standin.AbstractStandIn;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.List;
import java.util.Random;

/**
 * Simulates a model engine with continuous batching, a prefix cache and priorities.
 *
 * <p>{@code POST /v1/chat/completions} streams an answer as server-sent events; it reads the headers
 * {@code X-Request-Id}, {@code X-Priority} (a lower value is more urgent) and {@code X-Continue-Offset}. {@code GET
 * /streams/ID?offset=N} resumes a stream, and {@code DELETE /streams/ID} cancels it. The other routes are {@code GET
 * /load}, {@code GET /cache/events?after=N}, {@code POST /kv/export}, {@code POST /kv/import} and {@code GET|POST
 * /orders}.
 *
 * <p>Faults that are set without {@code cacheEventLagMillis} or {@code cacheEventGapShare} reset the absent one to 0.
 */
public final class ModelEngineStandIn extends AbstractStandIn {

    private static final long DETACHED_STREAM_RETENTION_MILLIS = 3_000;
    private static final int CHARS_PER_TOKEN = 4;
    private static final int DEFAULT_PRIORITY = 2;

    private final EngineOptions options;
    private final EngineScheduler scheduler;
    private final EngineOrders orders;
    private final PrefixCache cache;
    private final Random random;
    private HttpClient weightClient;
    private JsonObject reportedLoad = new JsonObject().put("running", 0).put("waiting", 0);
    private long arrivals;
    private long steps;
    private long generatedTokens;
    private long cancelledTokens;
    private long abandonedTokens;
    private double slowFactor = 1;
    private long reportIntervalMillis = 200;
    private boolean crashed;
    private boolean mismatchesAnswers;
    private long responseDelayMillis;

    /**
     * Creates an engine with the models of its options loaded.
     *
     * @param options the configuration of the engine
     */
    public ModelEngineStandIn(EngineOptions options) {
        super(options.host(), options.port());
        this.options = options;
        this.random = new Random(options.seed());
        this.scheduler = new EngineScheduler(options.maxBatch(), options.prefillTokensPerStep());
        this.orders = new EngineOrders(options.checksFencing());
        this.cache = new PrefixCache(options.cacheBlocks(), random);
        options.models().forEach(orders::addReadyModel);
    }

    @Override
    protected void onListening() {
        weightClient = vertx.createHttpClient();
        scheduleStep();
        scheduleReport();
    }

    @Override
    protected void addRoutes(Router router) {
        router.route().handler(context -> {
            if (crashed) {
                dropConnection(context);
            } else {
                context.next();
            }
        });
        router.post("/v1/chat/completions").handler(this::generate);
        router.get("/streams/:id").handler(this::resume);
        router.delete("/streams/:id").handler(this::cancel);
        router.get("/load").handler(context -> sendJson(context, 200, reportedLoad.copy()));
        router.get("/cache/events").handler(this::sendCacheEvents);
        router.post("/kv/export").handler(this::exportKv);
        router.post("/kv/import").handler(this::importKv);
        router.get("/orders").handler(context -> sendJson(context, 200, orderState()));
        router.post("/orders").handler(this::handleOrder);
    }

    @Override
    protected void applyFaults(JsonObject faults) {
        slowFactor = faults.getDouble("slowFactor", slowFactor);
        reportIntervalMillis = faults.getLong("reportLagMillis", reportIntervalMillis);
        mismatchesAnswers = faults.getBoolean("crossed", mismatchesAnswers);
        responseDelayMillis = faults.getLong("lateMillis", responseDelayMillis);
        cache.setFaults(faults.getLong("cacheEventLagMillis", 0L), faults.getDouble("cacheEventGapShare", 0.0));
        stallStreams(faults.getDouble("silenceShare", 0.0));
        boolean crash = faults.getBoolean("crashed", crashed);
        if (crash && !crashed) {
            crash();
        }
        crashed = crash;
    }

    private void stallStreams(double share) {
        for (EngineStream stream : scheduler.all()) {
            if (random.nextDouble() < share) {
                stream.stalled = true;
            }
        }
    }

    private void crash() {
        List<EngineStream> streamsLost = scheduler.all();
        scheduler.clear();
        cache.clear();
        for (EngineStream stream : streamsLost) {
            abandonedTokens += stream.generatedTokens;
            if (stream.response != null) {
                stream.response.reset();
            }
        }
    }

    @Override
    protected JsonObject counters() {
        return new JsonObject()
                .put("generatedTokens", generatedTokens)
                .put("cancelledTokens", cancelledTokens)
                .put("abandonedTokens", abandonedTokens)
                .put("arrivals", arrivals)
                .put("steps", steps)
                .put("running", scheduler.runningCount())
                .put("waiting", scheduler.waitingCount());
    }

    private static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    private void scheduleStep() {
        long delayMillis = Math.max(1, Math.round(options.stepMillis() * slowFactor));
        vertx.setTimer(delayMillis, timer -> {
            step();
            scheduleStep();
        });
    }

    private void scheduleReport() {
        vertx.setTimer(Math.max(1, reportIntervalMillis), timer -> {
            reportedLoad = new JsonObject()
                    .put("running", scheduler.runningCount())
                    .put("waiting", scheduler.waitingCount())
                    .put("models", orders.readyModels());
            scheduleReport();
        });
    }

    private void step() {
        steps++;
        for (EngineStream stream : scheduler.step()) {
            generatedTokens++;
            send(stream, stream.generatedTokens - 1);
        }
        for (EngineStream stream : scheduler.removeExpired(nowMillis(), DETACHED_STREAM_RETENTION_MILLIS)) {
            abandonedTokens += stream.generatedTokens;
        }
    }

    private void send(EngineStream stream, int index) {
        HttpServerResponse response = stream.response;
        if (response == null || stream.stalled || response.closed()) {
            markDetachedIfFinished(stream);
            return;
        }
        StringBuilder text = new StringBuilder(stream.chunk(index, answerId(stream)));
        if (stream.finished()) {
            text.append(stream.lastChunk(answerId(stream)));
            scheduler.remove(stream.id);
        }
        writeDelayed(response, text.toString(), stream.finished());
    }

    private void markDetachedIfFinished(EngineStream stream) {
        if (stream.finished() && stream.detachedAtMillis == 0) {
            stream.detachedAtMillis = nowMillis();
        }
    }

    private void writeDelayed(HttpServerResponse response, String text, boolean last) {
        if (responseDelayMillis > 0) {
            vertx.setTimer(responseDelayMillis, timer -> write(response, text, last));
        } else {
            write(response, text, last);
        }
    }

    private static void write(HttpServerResponse response, String text, boolean last) {
        if (response.closed()) {
            return;
        }
        response.write(text);
        if (last) {
            response.end();
        }
    }

    private String answerId(EngineStream stream) {
        if (!mismatchesAnswers) {
            return stream.requestId;
        }
        return scheduler.all().stream()
                .filter(otherStream -> !otherStream.id.equals(stream.id))
                .findFirst()
                .map(otherStream -> otherStream.requestId)
                .orElse(stream.requestId);
    }

    private void generate(RoutingContext context) {
        JsonObject body;
        try {
            body = context.body().asJsonObject();
        } catch (DecodeException e) {
            sendJson(context, 400, new JsonObject().put("error", "malformed body"));
            return;
        }
        if (!orders.isReady(body.getString("model"))) {
            sendJson(context, 404, new JsonObject().put("error", "model not loaded"));
            return;
        }
        EngineStream stream = newStream(context, body);
        int cachedBlocks = cache.lookUpAndStore(stream.prompt, nowMillis());
        int promptTokens = Math.max(1, stream.prompt.length() / CHARS_PER_TOKEN);
        stream.generatedTokens = Integer.parseInt(header(context, "X-Continue-Offset", "0"));
        stream.prefillTokens = stream.generatedTokens
                + Math.max(1, promptTokens - cachedBlocks * PrefixCache.BLOCK_CHARS / CHARS_PER_TOKEN);
        if (stream.finished()) {
            stream.generatedTokens = Math.max(0, stream.totalTokens - 1);
        }
        scheduler.add(stream);
        attach(context, stream);
    }

    private EngineStream newStream(RoutingContext context, JsonObject body) {
        arrivals++;
        int priority = Integer.parseInt(header(context, "X-Priority", Integer.toString(DEFAULT_PRIORITY)));
        String requestId = header(context, "X-Request-Id", "request-" + arrivals);
        String id = port() + "-" + arrivals + "-" + Long.toHexString(random.nextLong());
        return new EngineStream(id, requestId, body, priority, arrivals);
    }

    private static String header(RoutingContext context, String name, String fallback) {
        String value = context.request().getHeader(name);
        return value == null ? fallback : value;
    }

    private void attach(RoutingContext context, EngineStream stream) {
        HttpServerResponse response = context.response();
        response.setChunked(true)
                .putHeader("Content-Type", "text/event-stream")
                .putHeader("X-Stream-Id", stream.id)
                .putHeader("X-Request-Id", stream.requestId);
        response.writeHead();
        stream.response = response;
        stream.stalled = false;
        stream.detachedAtMillis = 0;
        response.closeHandler(closed -> {
            if (response.equals(stream.response)) {
                stream.response = null;
                stream.detachedAtMillis = nowMillis();
            }
        });
    }

    private void resume(RoutingContext context) {
        EngineStream stream = scheduler.find(context.pathParam("id"));
        if (stream == null) {
            sendJson(context, 404, new JsonObject().put("error", "no such stream"));
            return;
        }
        int offset = Integer.parseInt(context.request().getParam("offset", "0"));
        attach(context, stream);
        for (int index = offset; index < stream.generatedTokens; index++) {
            context.response().write(stream.chunk(index, answerId(stream)));
        }
        if (stream.finished()) {
            context.response().end(stream.lastChunk(answerId(stream)));
            scheduler.remove(stream.id);
        }
    }

    private void cancel(RoutingContext context) {
        EngineStream stream = scheduler.remove(context.pathParam("id"));
        int generated = stream == null ? 0 : stream.generatedTokens;
        cancelledTokens += generated;
        if (stream != null && stream.response != null) {
            stream.response.end();
        }
        sendJson(context, 200, new JsonObject().put("generatedTokens", generated));
    }

    private void sendCacheEvents(RoutingContext context) {
        long after = Long.parseLong(context.request().getParam("after", "0"));
        JsonArray list = new JsonArray();
        cache.eventsAfter(after, nowMillis()).forEach(list::add);
        sendJson(context, 200, new JsonObject().put("events", list));
    }

    private void exportKv(RoutingContext context) {
        EngineStream stream = scheduler.remove(context.body().asJsonObject().getString("streamId", ""));
        if (stream == null) {
            sendJson(context, 404, new JsonObject().put("error", "no such stream"));
            return;
        }
        if (stream.response != null) {
            stream.response.reset();
        }
        sendJson(
                context,
                200,
                new JsonObject()
                        .put("prompt", stream.prompt)
                        .put("model", stream.model)
                        .put("generatedTokens", stream.generatedTokens)
                        .put("totalTokens", stream.totalTokens));
    }

    private void importKv(RoutingContext context) {
        JsonObject exported = context.body().asJsonObject();
        JsonArray messages =
                new JsonArray().add(new JsonObject().put("role", "user").put("content", exported.getString("prompt")));
        JsonObject body = new JsonObject()
                .put("model", exported.getString("model"))
                .put("messages", messages)
                .put("max_tokens", exported.getInteger("totalTokens"));
        EngineStream stream = newStream(context, body);
        stream.generatedTokens = exported.getInteger("generatedTokens");
        scheduler.add(stream);
        attach(context, stream);
    }

    private void handleOrder(RoutingContext context) {
        JsonObject order = context.body().asJsonObject();
        if (!orders.isCurrent(order.getLong("fencing", 0L))) {
            sendJson(context, 409, new JsonObject().put("error", "old fencing number"));
            return;
        }
        JsonArray toLoad = orders.apply(order);
        for (int index = 0; index < toLoad.size(); index++) {
            loadModel(toLoad.getJsonObject(index));
        }
        sendJson(context, 200, orderState());
    }

    private JsonObject orderState() {
        return orders.state().put("running", scheduler.runningCount() + scheduler.waitingCount());
    }

    private void loadModel(JsonObject model) {
        String name = model.getString("name");
        String version = model.getString("version", "1");
        if (options.weightStoreUrl().isEmpty()) {
            orders.finishLoad(name, version, true);
            return;
        }
        RequestOptions request = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setAbsoluteURI(options.weightStoreUrl() + "/weights/" + name + "/" + version);
        weightClient
                .request(request)
                .compose(sent -> sent.send())
                .onComplete(answer -> orders.finishLoad(
                        name, version, answer.succeeded() && answer.result().statusCode() == 200));
    }
}
