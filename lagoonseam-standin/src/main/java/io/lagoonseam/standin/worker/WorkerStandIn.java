package io.lagoonseam.standin.worker;

import io.lagoonseam.standin.AbstractStandIn;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker of a plain service or of a model, which checks that it is the one that is meant, tells its load, and counts
 * what it ran by request id. Its faults are failures, silence, lost answers and streams that break off.
 */
public final class WorkerStandIn extends AbstractStandIn {

    private static final int OK = 200;
    private static final int MISDIRECTED = 421;
    private static final int SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;
    private static final int USUAL_URGENCY = 5;

    private final WorkerOptions options;
    private final EngineBatch batch;
    private final Random random;
    private final List<JsonObject> ran = new ArrayList<>();
    private final AtomicInteger openRequests = new AtomicInteger();
    private int plainRunning;
    private long arrivals;
    private double failShare;
    private double loseAnswerShare;
    private int breakAfterEvents = Integer.MAX_VALUE;
    private boolean silent;
    private boolean healthy = true;

    /**
     * Creates a worker.
     *
     * @param host the address to listen on
     * @param port the port, or 0 for any free one
     * @param options what it is like
     * @param seed the seed of its faults
     */
    public WorkerStandIn(String host, int port, WorkerOptions options, long seed) {
        super(host, port);
        this.options = options;
        this.batch = new EngineBatch(options);
        this.random = new Random(seed);
    }

    @Override
    protected void started() {
        if (options.isEngine()) {
            vertx.setPeriodic(options.stepMillis(), timer -> batch.step().forEach(this::advance));
        }
    }

    @Override
    protected void addRoutes(Router router) {
        router.get("/health")
                .handler(context -> context.response()
                        .setStatusCode(healthy ? OK : UNAVAILABLE)
                        .putHeader("X-Instance-Id", options.id())
                        .putHeader("X-Server-Load", load())
                        .end());
        router.get("/report").handler(this::report);
        router.route().handler(this::work);
    }

    private String load() {
        int running = options.isEngine() ? batch.running() : Math.min(plainRunning, options.slots());
        int waiting = options.isEngine() ? batch.waiting() : Math.max(0, plainRunning - options.slots());
        return running + "," + waiting + "," + options.slots();
    }

    private void report(RoutingContext context) {
        sendJson(
                context,
                OK,
                new JsonObject()
                        .put("active_requests", batch.running())
                        .put("queue_depth", batch.waiting())
                        .put("kv_used", batch.usedTokens())
                        .put("kv_total", options.memoryTokens()));
    }

    private void work(RoutingContext context) {
        arrivals++;
        HttpServerRequest request = context.request();
        String expected = request.getHeader("X-Expect-Instance");
        if (expected != null && !expected.equals(options.id())) {
            request.response()
                    .setStatusCode(MISDIRECTED)
                    .putHeader("X-Instance-Id", options.id())
                    .end();
            return;
        }
        openRequests.incrementAndGet();
        request.response().endHandler(nothing -> openRequests.decrementAndGet());
        if (silent) {
            return;
        }
        if (options.isEngine()) {
            workAsEngine(request);
        } else {
            workPlainly(context);
        }
    }

    private void reject(HttpServerRequest request) {
        request.response()
                .setStatusCode(UNAVAILABLE)
                .putHeader("X-Not-Run", "1")
                .putHeader("X-Request-Id", id(request))
                .end();
    }

    private static String id(HttpServerRequest request) {
        String id = request.getHeader("X-Request-Id");
        return id == null ? "" : id;
    }

    private void begun(HttpServerRequest request) {
        JsonObject headers = new JsonObject();
        request.headers().forEach(entry -> headers.put(entry.getKey().toLowerCase(), entry.getValue()));
        ran.add(new JsonObject()
                .put("id", id(request))
                .put("method", request.method().name())
                .put("uri", request.uri())
                .put("headers", headers));
    }

    private void workPlainly(RoutingContext context) {
        HttpServerRequest request = context.request();
        if (plainRunning >= options.slots() + options.queue()) {
            reject(request);
            return;
        }
        plainRunning++;
        begun(request);
        long waves = 1 + plainRunning / Math.max(1, options.slots());
        vertx.setTimer(Math.max(1, waves * options.workMillis()), timer -> {
            plainRunning--;
            if (random.nextDouble() < loseAnswerShare) {
                dropConnection(context);
            } else if (!request.response().closed()) {
                boolean failed = random.nextDouble() < failShare;
                sealed(request.response(), request)
                        .setStatusCode(failed ? SERVER_ERROR : OK)
                        .putHeader("X-Server-Load", load())
                        .end(failed ? "failed" : options.id() + " ran " + id(request));
            }
        });
    }

    private HttpServerResponse sealed(HttpServerResponse response, HttpServerRequest request) {
        return response.putHeader("X-Request-Id", id(request))
                .putHeader("X-Response-Seal", options.id() + "." + id(request))
                .putHeader("Keep-Alive", "timeout=5");
    }

    private void workAsEngine(HttpServerRequest request) {
        MultiMap headers = request.headers();
        String last = headers.get("Last-Event-Id");
        String urgency = headers.get("X-Request-Urgency");
        EngineRun run = new EngineRun(
                request,
                urgency == null ? USUAL_URGENCY : Integer.parseInt(urgency),
                arrivals,
                parts(headers.get("X-Prompt-Prefix")),
                events(headers.get("X-Token-Counts")),
                last == null ? 1 : 1 + Integer.parseInt(last));
        if (!batch.offer(run)) {
            reject(request);
            return;
        }
        request.connection().closeHandler(nothing -> batch.remove(run));
    }

    private int events(String tokenCounts) {
        String[] fields = tokenCounts == null ? new String[] {"0", "8"} : tokenCounts.split(",");
        return Math.max(1, Integer.parseInt(fields[1].trim()) / options.tokensPerEvent());
    }

    private static List<EngineRun.PromptPart> parts(String prefix) {
        List<EngineRun.PromptPart> parts = new ArrayList<>();
        if (prefix != null) {
            for (String entry : prefix.split(",")) {
                String[] fields = entry.split(":");
                parts.add(new EngineRun.PromptPart(fields[0], Integer.parseInt(fields[1])));
            }
        }
        return parts;
    }

    private void advance(EngineRun run) {
        HttpServerResponse response = run.request.response();
        if (!run.begun) {
            run.begun = true;
            begun(run.request);
        }
        if (run.madeTokens % options.tokensPerEvent() != 0 && run.madeTokens != 1) {
            return;
        }
        int event = run.firstEvent + run.sentEvents;
        if (run.sentEvents == 0) {
            sealed(response, run.request)
                    .putHeader("Content-Type", "text/event-stream")
                    .putHeader("X-Server-Load", load())
                    .setChunked(true);
        }
        run.sentEvents++;
        if (run.sentEvents > breakAfterEvents) {
            batch.remove(run);
            response.write("id: " + event + "\nda")
                    .onComplete(nothing -> run.request.connection().close());
            return;
        }
        response.write("id: " + event + "\ndata: token " + event + " of " + id(run.request) + "\n\n");
        if (event >= run.events) {
            batch.remove(run);
            response.end();
        }
    }

    @Override
    protected void applyFaults(JsonObject faults) {
        failShare = faults.getDouble("failShare", failShare);
        loseAnswerShare = faults.getDouble("loseAnswerShare", loseAnswerShare);
        breakAfterEvents = faults.getInteger("breakAfterEvents", breakAfterEvents);
        silent = faults.getBoolean("silent", silent);
        healthy = faults.getBoolean("healthy", healthy);
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
     * Returns what ran here, to be called when nothing runs any more.
     *
     * @return one object for each run: id, method, uri and headers
     */
    public List<JsonObject> ran() {
        return List.copyOf(ran);
    }

    /**
     * Returns the requests that have come and whose answer or connection has not ended.
     *
     * @return a count
     */
    public int openRequests() {
        return openRequests.get();
    }

    @Override
    protected JsonObject counters() {
        return new JsonObject()
                .put("arrivals", arrivals)
                .put("ran", ran.size())
                .put("readTokens", batch.readTokens())
                .put("preemptions", batch.preemptions());
    }
}
