package io.lagoonseam.bench.traffic;

import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.core.configuration.RequestClass;
import io.lagoonseam.core.configuration.ServiceLevel;
import io.lagoonseam.standin.engine.AnswerText;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Generates open-loop traffic: arrivals are random and do not depend on the answers. Sends requests to the entry nodes
 * in round-robin order and checks every answer.
 */
public final class TrafficGenerator {

    private static final int POOL_SIZE = 4_096;
    private static final int OK = 200;
    private static final long PROGRESS_MILLIS = 1_000;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final String DATA = "data: ";
    private static final String NOT_RUN = "not_run";
    private static final String NO_NODE = "no_node";

    private final Vertx vertx;
    private final Context context;
    private final HttpClient client;
    private final Supplier<List<String>> targets;
    private final FileSet fileSet;
    private final TrafficProfile profile;
    private final long seed;
    private final TrafficReport report = new TrafficReport();
    private final Promise<TrafficReport> finished = Promise.promise();
    private final long startNanos;
    private int arrivalsInProgress;
    private int requestsInFlight;
    private int nextTarget;

    private TrafficGenerator(
            Vertx vertx, Supplier<List<String>> targets, FileSet fileSet, TrafficProfile profile, long seed) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.client = vertx.createHttpClient(new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(POOL_SIZE));
        this.targets = targets;
        this.fileSet = fileSet;
        this.profile = profile;
        this.seed = seed;
        this.startNanos = System.nanoTime();
    }

    /**
     * Runs a profile.
     *
     * @param vertx the Vert.x instance
     * @param targets the addresses of the entry nodes, each a URL without a path
     * @param fileSet the file set with the latency objectives of the classes
     * @param profile the traffic to generate
     * @param seed the seed of the arrivals, the choice of keys and the idempotency keys
     * @return a future that completes with the report when every request has ended
     */
    public static Future<TrafficReport> run(
            Vertx vertx, List<String> targets, FileSet fileSet, TrafficProfile profile, long seed) {
        return run(vertx, targets, fileSet, profile, seed, progress -> {});
    }

    /**
     * Runs a profile and reports its progress.
     *
     * @param vertx the Vert.x instance
     * @param targets the addresses of the entry nodes, each a URL without a path
     * @param fileSet the file set with the latency objectives of the classes
     * @param profile the traffic to generate
     * @param seed the seed of the arrivals, the choice of keys and the idempotency keys
     * @param progress receives the report every second, on the thread that updates it
     * @return a future that completes with the report when every request has ended
     */
    public static Future<TrafficReport> run(
            Vertx vertx,
            List<String> targets,
            FileSet fileSet,
            TrafficProfile profile,
            long seed,
            Consumer<TrafficReport> progress) {
        List<String> fixed = List.copyOf(targets);
        return run(vertx, () -> fixed, fileSet, profile, seed, progress);
    }

    /**
     * Runs a profile against a set of entry nodes that changes during the run.
     *
     * @param vertx the Vert.x instance
     * @param targets supplies the current addresses of the entry nodes for each request, each a URL without a path; a
     *     request for which it supplies none is counted as refused
     * @param fileSet the file set with the latency objectives of the classes
     * @param profile the traffic to generate
     * @param seed the seed of the arrivals, the choice of keys and the idempotency keys
     * @param progress receives the report every second, on the thread that updates it
     * @return a future that completes with the report when every request has ended
     */
    public static Future<TrafficReport> run(
            Vertx vertx,
            Supplier<List<String>> targets,
            FileSet fileSet,
            TrafficProfile profile,
            long seed,
            Consumer<TrafficReport> progress) {
        TrafficGenerator generator = new TrafficGenerator(vertx, targets, fileSet, profile, seed);
        generator.context.runOnContext(nothing -> generator.start(progress));
        return generator.finished.future();
    }

    private void start(Consumer<TrafficReport> progress) {
        long timer = vertx.setPeriodic(PROGRESS_MILLIS, fired -> progress.accept(report));
        finished.future().onComplete(ended -> vertx.cancelTimer(timer));
        arrivalsInProgress = profile.classes().size();
        for (ClassProfile classProfile : profile.classes()) {
            report.classReport(classProfile.requestClass());
            new ArrivalProcess(classProfile).scheduleNext();
        }
    }

    /** Schedules the arrivals of one class, drawn from a random source of its own. */
    private final class ArrivalProcess {

        private final ClassProfile classProfile;
        private final Random random;
        private double arrivalMillis;
        private long number;

        private ArrivalProcess(ClassProfile classProfile) {
            this.classProfile = classProfile;
            this.random = new Random(seed * 31 + classProfile.requestClass().hashCode());
        }

        private void scheduleNext() {
            do {
                arrivalMillis += drawGapMillis();
            } while (isThinned());
            if (arrivalMillis >= profile.durationMillis()) {
                arrivalsInProgress--;
                finishIfIdle();
                return;
            }
            long delayMillis = Math.round(arrivalMillis) - elapsedMillis();
            vertx.setTimer(Math.max(1, delayMillis), timer -> arrive());
        }

        /**
         * Returns a random interarrival time at the highest rate of the class; outside its burst, thinning drops the
         * excess.
         */
        private double drawGapMillis() {
            double highestRate =
                    classProfile.requestsPerSecond() * classProfile.burst().maxFactor();
            return -Math.log(1 - random.nextDouble()) * 1_000 / highestRate;
        }

        private boolean isThinned() {
            RateBurst burst = classProfile.burst();
            double kept = burst.factorAt(arrivalMillis) / burst.maxFactor();
            return arrivalMillis < profile.durationMillis() && kept < 1 && random.nextDouble() >= kept;
        }

        private void arrive() {
            number++;
            String key =
                    classProfile.keys().get(random.nextInt(classProfile.keys().size()));
            send(classProfile, key, number, startNanos + (long) (arrivalMillis * NANOS_PER_MILLI));
            scheduleNext();
        }
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private void finishIfIdle() {
        if (arrivalsInProgress == 0 && requestsInFlight == 0) {
            finished.tryComplete(report);
        }
    }

    /**
     * Sends a request. Its latency counts from the intended arrival, so that delays of the generator are not left out.
     */
    private void send(ClassProfile classProfile, String key, long number, long intendedNanos) {
        requestsInFlight++;
        ClassReport classReport = report.classReport(classProfile.requestClass());
        classReport.recordRequest();
        List<String> currentTargets = targets.get();
        if (currentTargets.isEmpty()) {
            classReport.recordRefusal(NO_NODE);
            requestsInFlight--;
            return;
        }
        String target = currentTargets.get(nextTarget++ % currentTargets.size());
        Exchange exchange = new Exchange(classProfile, classReport, number, intendedNanos);
        RequestOptions options = requestOptions(classProfile, target, key, exchange.idempotencyKey);
        client.request(options)
                .compose(request -> request.send(exchange.body().toBuffer()))
                .onSuccess(exchange::handleResponse)
                .onFailure(cause -> exchange.handleFailure());
    }

    private static RequestOptions requestOptions(
            ClassProfile classProfile, String target, String key, String idempotencyKey) {
        String path = classProfile.usesModelEngine() ? "/v1/chat/completions" : classProfile.path();
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setAbsoluteURI(target + path)
                .putHeader("Authorization", "Bearer " + key)
                .putHeader("Content-Type", "application/json")
                .putHeader("X-Request-Class", classProfile.requestClass());
        if (classProfile.keyed()) {
            options.putHeader("Idempotency-Key", idempotencyKey);
        }
        return options;
    }

    private static String prompt(ClassProfile classProfile, long number) {
        StringBuilder text = new StringBuilder("guide of " + classProfile.requestClass() + ": ");
        while (text.length() < classProfile.promptChars()) {
            text.append("care for your set and keep oil away from the glue. ");
        }
        return text.append("question ").append(number).toString();
    }

    /** A request and the state of its answer. */
    private final class Exchange {

        private final ClassProfile classProfile;
        private final ClassReport classReport;
        private final String prompt;
        private final String idempotencyKey;
        private final long startNanos;
        private final StringBuilder pending = new StringBuilder();
        private final StringBuilder text = new StringBuilder();
        private final Map<Long, Integer> tokensBySlot = new HashMap<>();
        private int tokens;
        private long firstTokenNanos;
        private boolean doneReceived;
        private boolean refusedMidStream;

        private Exchange(ClassProfile classProfile, ClassReport classReport, long number, long startNanos) {
            this.classProfile = classProfile;
            this.classReport = classReport;
            this.prompt = prompt(classProfile, number);
            this.idempotencyKey = classProfile.requestClass() + "-" + seed + "-" + number;
            this.startNanos = startNanos;
        }

        private JsonObject body() {
            if (!classProfile.usesModelEngine()) {
                return new JsonObject().put("note", prompt);
            }
            JsonObject message = new JsonObject().put("role", "user").put("content", prompt);
            JsonObject body = new JsonObject()
                    .put("model", classProfile.model())
                    .put("stream", true)
                    .put("messages", new JsonArray().add(message));
            if (classProfile.maxTokens() < Integer.MAX_VALUE) {
                body.put("max_tokens", classProfile.maxTokens());
            }
            return body;
        }

        private void handleResponse(HttpClientResponse response) {
            if (response.statusCode() != OK) {
                response.body()
                        .onComplete(body ->
                                handleRefusal(body.succeeded() ? body.result().toString() : ""));
                return;
            }
            if (!classProfile.usesModelEngine()) {
                response.body().onSuccess(body -> handlePlainAnswer()).onFailure(cause -> handleFailure());
                return;
            }
            response.handler(chunk -> handleChunk(chunk.toString()));
            response.exceptionHandler(cause -> handleFailure());
            response.endHandler(nothing -> handleStreamEnd());
        }

        private void handleChunk(String chunk) {
            pending.append(chunk);
            int end = pending.indexOf("\n");
            while (end >= 0) {
                String line = pending.substring(0, end);
                pending.delete(0, end + 1);
                if (line.startsWith(DATA)) {
                    handleEvent(line.substring(DATA.length()));
                }
                end = pending.indexOf("\n");
            }
        }

        private void handleEvent(String data) {
            if ("[DONE]".equals(data)) {
                doneReceived = true;
                return;
            }
            JsonObject json = new JsonObject(data);
            if (json.containsKey("error")) {
                refusedMidStream = true;
                classReport.recordRefusal(json.getJsonObject("error").getString("verdict"));
                return;
            }
            JsonObject delta = json.getJsonArray("choices").getJsonObject(0).getJsonObject("delta");
            if (delta.containsKey("content")) {
                if (tokens == 0) {
                    firstTokenNanos = System.nanoTime();
                }
                tokens++;
                tokensBySlot.merge(TrafficReport.timeSlot(elapsedMillis()), 1, Integer::sum);
                text.append(delta.getString("content"));
            }
        }

        private void handleStreamEnd() {
            if (refusedMidStream) {
                finish();
                return;
            }
            int expected = AnswerText.length(prompt, classProfile.maxTokens());
            if (!doneReceived || !AnswerText.completeText(prompt, expected).contentEquals(text)) {
                classReport.recordWrongAnswer();
                finish();
                return;
            }
            long firstMillis = TimeUnit.NANOSECONDS.toMillis(firstTokenNanos - startNanos);
            double betweenMillis = tokens < 2 ? 0 : (System.nanoTime() - firstTokenNanos) / 1e6 / (tokens - 1);
            classReport.recordAnswer(firstMillis, betweenMillis, meetsObjectives(firstMillis, betweenMillis), tokens);
            report.addCompleteAnswer(tokensBySlot);
            finish();
        }

        private void handlePlainAnswer() {
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            classReport.recordAnswer(millis, 0, meetsObjectives(millis, 0), 0);
            finish();
        }

        private boolean meetsObjectives(long firstMillis, double betweenMillis) {
            RequestClass requestClass = fileSet.classes().get(classProfile.requestClass());
            ServiceLevel level = fileSet.serviceLevels().get(requestClass.serviceLevel());
            return firstMillis <= level.firstTokenMillis() && betweenMillis <= level.betweenTokensMillis();
        }

        private void handleRefusal(String body) {
            try {
                String verdict = new JsonObject(body).getJsonObject("error").getString("verdict");
                classReport.recordRefusal(verdict);
                if (NOT_RUN.equals(verdict) && classProfile.keyed()) {
                    report.addKeyNotRun(idempotencyKey);
                }
            } catch (DecodeException | NullPointerException e) {
                classReport.recordRefusal("unreadable");
            }
            finish();
        }

        private void handleFailure() {
            classReport.recordBrokenAnswer();
            finish();
        }

        private void finish() {
            requestsInFlight--;
            finishIfIdle();
        }
    }
}
