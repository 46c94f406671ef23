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
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Simulates a worker of a plain service or of a model. It rejects requests that are addressed to another instance,
 * reports its load, and records the requests that it ran with their ids. Its faults are failed requests, missing
 * responses, connections closed instead of a response, streams that are cut off, and requests that crash it when it
 * begins to answer them. If told to, it names itself in each event of a stream.
 */
public final class WorkerStandIn extends AbstractStandIn {

    private static final int OK = 200;
    private static final int MISDIRECTED = 421;
    private static final int SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;
    private static final int DEFAULT_URGENCY = 5;

    private final WorkerOptions options;
    private final EngineBatch batch;
    private final Random random;
    private final List<JsonObject> ran = new ArrayList<>();
    private final AtomicInteger openRequests = new AtomicInteger();
    private int plainRunning;
    private volatile int mostRunning;
    private final AtomicLong arrivals = new AtomicLong();
    private double failureRate;
    private double lostAnswerShare;
    private int breakAfterEvents = Integer.MAX_VALUE;
    private String breakIdPrefix = "";
    private boolean namesItself;
    private boolean unresponsive;
    private boolean healthy = true;
    private boolean leaving;
    private String pauseSeconds = "";
    private String limitPerSecond = "";
    private String crashPart = "";
    private String crashText = "";
    private long crashMillis;
    private final Queue<Arrival> crashes = new ConcurrentLinkedQueue<>();
    private final AtomicLong crashingArrivals = new AtomicLong();
    private final Queue<Arrival> arrivalRecords = new ConcurrentLinkedQueue<>();

    /**
     * A request that was received.
     *
     * @param requestId the id of the request, empty if it has none
     * @param atMillis when it was received, on the clock of {@link System#nanoTime()}, in milliseconds
     */
    public record Arrival(String requestId, long atMillis) {}

    /**
     * Creates a worker.
     *
     * @param host the IP address or host name to listen on
     * @param port the port to listen on, or 0 for any free port
     * @param options the capacity and speed of the worker
     * @param seed the seed of the random faults
     */
    public WorkerStandIn(String host, int port, WorkerOptions options, long seed) {
        super(host, port);
        this.options = options;
        this.batch = new EngineBatch(options);
        this.random = new Random(seed);
    }

    @Override
    protected void onListening() {
        if (options.isEngine()) {
            vertx.setPeriodic(options.stepMillis(), timer -> batch.step().forEach(this::onTokenGenerated));
        }
    }

    @Override
    protected void addRoutes(Router router) {
        router.get("/health")
                .handler(context -> context.response()
                        .setStatusCode(healthy ? OK : UNAVAILABLE)
                        .putHeader("X-Instance-Id", options.id())
                        .putHeader("X-Server-Load", loadHeader())
                        .end());
        router.get("/report").handler(this::sendLoadReport);
        router.route().handler(this::handleRequest);
    }

    private String loadHeader() {
        int running = options.isEngine() ? batch.running() : Math.min(plainRunning, options.slots());
        int waiting = options.isEngine() ? batch.waiting() : Math.max(0, plainRunning - options.slots());
        return running + "," + waiting + "," + options.slots();
    }

    private void sendLoadReport(RoutingContext context) {
        sendJson(
                context,
                OK,
                new JsonObject()
                        .put("active_requests", batch.running())
                        .put("queue_depth", batch.waiting())
                        .put("kv_used", batch.usedTokens())
                        .put("kv_total", options.kvCapacityTokens()));
    }

    private void handleRequest(RoutingContext context) {
        arrivals.incrementAndGet();
        HttpServerRequest request = context.request();
        String body = String.valueOf(context.body().asString());
        if (crashesWorker(request, body)) {
            crashingArrivals.incrementAndGet();
        }
        arrivalRecords.add(new Arrival(requestId(request), TimeUnit.NANOSECONDS.toMillis(System.nanoTime())));
        if (leaving) {
            request.response().putHeader("Server-Leaving", "1");
        }
        if (!limitPerSecond.isEmpty()) {
            request.response().putHeader("Server-Limit", limitPerSecond);
        }
        String expectedInstance = request.getHeader("X-Expect-Instance");
        if (expectedInstance != null && !expectedInstance.equals(options.id())) {
            request.response()
                    .setStatusCode(MISDIRECTED)
                    .putHeader("X-Instance-Id", options.id())
                    .end();
            return;
        }
        openRequests.incrementAndGet();
        request.response().endHandler(nothing -> openRequests.decrementAndGet());
        if (unresponsive) {
            return;
        }
        if (!pauseSeconds.isEmpty()) {
            request.response().putHeader("Retry-After", pauseSeconds);
            reject(request);
            return;
        }
        if (options.isEngine()) {
            runEngineRequest(request, crashesWorker(request, body));
        } else {
            runPlainRequest(context);
        }
    }

    private void reject(HttpServerRequest request) {
        request.response()
                .setStatusCode(UNAVAILABLE)
                .putHeader("X-Not-Run", "1")
                .putHeader("X-Request-Id", requestId(request))
                .end();
    }

    private static String requestId(HttpServerRequest request) {
        String id = request.getHeader("X-Request-Id");
        return id == null ? "" : id;
    }

    private void recordRun(HttpServerRequest request) {
        JsonObject headers = new JsonObject();
        request.headers().forEach(entry -> headers.put(entry.getKey().toLowerCase(), entry.getValue()));
        ran.add(new JsonObject()
                .put("id", requestId(request))
                .put("method", request.method().name())
                .put("uri", request.uri())
                .put("headers", headers));
    }

    private void runPlainRequest(RoutingContext context) {
        HttpServerRequest request = context.request();
        if (crashesWorker(request, String.valueOf(context.body().asString()))) {
            crash(request);
            return;
        }
        if (plainRunning >= options.slots() + options.queueCapacity()) {
            reject(request);
            return;
        }
        plainRunning++;
        mostRunning = Math.max(mostRunning, plainRunning);
        recordRun(request);
        long waves = 1 + plainRunning / Math.max(1, options.slots());
        vertx.setTimer(Math.max(1, waves * options.requestMillis()), timer -> {
            plainRunning = Math.max(0, plainRunning - 1);
            if (random.nextDouble() < lostAnswerShare) {
                dropConnection(context);
            } else if (!request.response().closed()) {
                boolean failed = random.nextDouble() < failureRate;
                addResponseHeaders(request.response(), request)
                        .setStatusCode(failed ? SERVER_ERROR : OK)
                        .putHeader("X-Server-Load", loadHeader())
                        .end(failed ? "failed" : options.id() + " ran " + requestId(request));
            }
        });
    }

    private HttpServerResponse addResponseHeaders(HttpServerResponse response, HttpServerRequest request) {
        return response.putHeader("X-Request-Id", requestId(request))
                .putHeader("X-Response-Seal", options.id() + "." + requestId(request))
                .putHeader("Keep-Alive", "timeout=5");
    }

    private void runEngineRequest(HttpServerRequest request, boolean crashes) {
        MultiMap headers = request.headers();
        String lastEventId = headers.get("Last-Event-Id");
        String urgency = headers.get("X-Request-Urgency");
        EngineRun run = new EngineRun(
                request,
                urgency == null ? DEFAULT_URGENCY : Integer.parseInt(urgency),
                arrivals.get(),
                segments(headers.get("X-Prompt-Prefix")),
                eventCount(headers.get("X-Token-Counts")),
                lastEventId == null ? 1 : 1 + Integer.parseInt(lastEventId));
        run.crashes = crashes;
        if (!batch.tryAdd(run)) {
            reject(request);
            return;
        }
        request.connection().closeHandler(nothing -> batch.remove(run));
    }

    private boolean crashesWorker(HttpServerRequest request, String body) {
        boolean holdsText = !crashText.isEmpty() && (request.uri().contains(crashText) || body.contains(crashText));
        return holdsText || holdsCrashPart(request);
    }

    private boolean holdsCrashPart(HttpServerRequest request) {
        return !crashPart.isEmpty()
                && segments(request.getHeader("X-Prompt-Prefix")).stream()
                        .anyMatch(segment -> segment.id().equals(crashPart));
    }

    private void crash(HttpServerRequest request) {
        crashes.add(new Arrival(requestId(request), TimeUnit.NANOSECONDS.toMillis(System.nanoTime())));
        batch.clear();
        plainRunning = 0;
        goDown(crashMillis);
    }

    private int eventCount(String tokenCounts) {
        String[] fields = tokenCounts == null ? new String[] {"0", "8"} : tokenCounts.split(",");
        return Math.max(1, Integer.parseInt(fields[1].trim()) / options.tokensPerEvent());
    }

    private static List<EngineRun.PromptSegment> segments(String prefix) {
        List<EngineRun.PromptSegment> segments = new ArrayList<>();
        if (prefix != null) {
            for (String entry : prefix.split(",")) {
                String[] fields = entry.split(":");
                segments.add(new EngineRun.PromptSegment(fields[0], Integer.parseInt(fields[1])));
            }
        }
        return segments;
    }

    private void onTokenGenerated(EngineRun run) {
        HttpServerResponse response = run.request.response();
        if (!batch.holds(run)) {
            return;
        }
        if (run.crashes) {
            crash(run.request);
            return;
        }
        if (!run.started) {
            run.started = true;
            recordRun(run.request);
        }
        if (run.generatedTokens % options.tokensPerEvent() != 0 && run.generatedTokens != 1) {
            return;
        }
        int event = run.firstEventId + run.sentEvents;
        if (run.sentEvents == 0) {
            addResponseHeaders(response, run.request)
                    .putHeader("Content-Type", "text/event-stream")
                    .putHeader("X-Server-Load", loadHeader())
                    .setChunked(true);
        }
        run.sentEvents++;
        if (run.sentEvents > breakAfterEvents && requestId(run.request).startsWith(breakIdPrefix)) {
            batch.remove(run);
            response.write("id: " + event + "\nda")
                    .onComplete(nothing -> run.request.connection().close());
            return;
        }
        String origin = namesItself ? "worker: " + options.id() + "\n" : "";
        response.write(origin + "id: " + event + "\ndata: token " + event + " of " + requestId(run.request) + "\n\n");
        if (event >= run.totalEvents) {
            batch.remove(run);
            response.end();
        }
    }

    @Override
    protected void applyFaults(JsonObject faults) {
        failureRate = faults.getDouble("failShare", failureRate);
        lostAnswerShare = faults.getDouble("loseAnswerShare", lostAnswerShare);
        breakAfterEvents = faults.getInteger("breakAfterEvents", breakAfterEvents);
        breakIdPrefix = faults.getString("breakIdPrefix", breakIdPrefix);
        namesItself = faults.getBoolean("namesItself", namesItself);
        unresponsive = faults.getBoolean("silent", unresponsive);
        healthy = faults.getBoolean("healthy", healthy);
        leaving = faults.getBoolean("leaving", leaving);
        pauseSeconds = faults.getString("pauseSeconds", pauseSeconds);
        limitPerSecond = faults.getString("limitPerSecond", limitPerSecond);
        crashPart = faults.getString("crashPart", crashPart);
        crashText = faults.getString("crashText", crashText);
        crashMillis = faults.getLong("crashMillis", crashMillis);
    }

    /**
     * Sets faults on the event loop of the worker. May be called from any thread; returns before the faults are in
     * effect.
     *
     * @param faults the settings by fault name; a fault whose key is absent keeps its setting
     */
    public void setFaults(JsonObject faults) {
        context.runOnContext(nothing -> applyFaults(faults));
    }

    /**
     * Returns the requests that ran on the worker. Not synchronized with the event loop: call it only while no request
     * runs.
     *
     * @return one object per request with its id, method, uri and headers, in order of their start
     */
    public List<JsonObject> recordedRequests() {
        return List.copyOf(ran);
    }

    /**
     * Returns the largest number of requests of a plain service that the worker had at the same time, queued ones
     * included. May be called from any thread.
     *
     * @return the number of requests
     */
    public int mostRunning() {
        return mostRunning;
    }

    /**
     * Returns the number of requests received, including rejected ones. May be called from any thread.
     *
     * @return the number of requests
     */
    public long arrivals() {
        return arrivals.get();
    }

    /**
     * Returns the requests received, including rejected ones. May be called from any thread.
     *
     * @return the requests in order of arrival
     */
    public List<Arrival> arrivalRecords() {
        return List.copyOf(arrivalRecords);
    }

    /**
     * Returns how often a request has crashed the worker. May be called from any thread.
     *
     * @return the number of crashes
     */
    public long crashes() {
        return crashes.size();
    }

    /**
     * Returns the requests that have crashed the worker. May be called from any thread.
     *
     * @return the requests, with the times of the crashes
     */
    public List<Arrival> crashRecords() {
        return List.copyOf(crashes);
    }

    /**
     * Returns the number of requests received that hold the part that crashes the worker. May be called from any
     * thread.
     *
     * @return the number of requests
     */
    public long crashingArrivals() {
        return crashingArrivals.get();
    }

    /**
     * Returns the number of requests received whose response or connection has not ended. May be called from any
     * thread.
     *
     * @return the number of open requests
     */
    public int openRequests() {
        return openRequests.get();
    }

    @Override
    protected JsonObject counters() {
        return new JsonObject()
                .put("arrivals", arrivals.get())
                .put("ran", ran.size())
                .put("readTokens", batch.readTokens())
                .put("preemptions", batch.preemptions());
    }
}
