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

/** Sends requests at random times that do not depend on the answers, to one entry address after the other. */
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
    private int arrivalsRunning;
    private int requestsRunning;
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
     * @param fileSet the file set, for the targets of the classes
     * @param profile the traffic
     * @param seed the seed of arrivals and prompts
     * @return completes when every request has ended
     */
    public static Future<TrafficReport> run(
            Vertx vertx, List<String> targets, FileSet fileSet, TrafficProfile profile, long seed) {
        return run(vertx, targets, fileSet, profile, seed, progress -> {});
    }

    /**
     * Runs a profile and shows its progress.
     *
     * @param vertx the Vert.x instance
     * @param targets the addresses of the entry nodes, each a URL without a path
     * @param fileSet the file set, for the targets of the classes
     * @param profile the traffic
     * @param seed the seed of arrivals and prompts
     * @param progress hears of the report each second, on the thread that writes it
     * @return completes when every request has ended
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
     * Runs a profile against nodes that come and go.
     *
     * @param vertx the Vert.x instance
     * @param targets gives the addresses of the entry nodes at each request, at least one
     * @param fileSet the file set, for the targets of the classes
     * @param profile the traffic
     * @param seed the seed of arrivals and prompts
     * @param progress hears of the report each second, on the thread that writes it
     * @return completes when every request has ended
     */
    public static Future<TrafficReport> run(
            Vertx vertx,
            Supplier<List<String>> targets,
            FileSet fileSet,
            TrafficProfile profile,
            long seed,
            Consumer<TrafficReport> progress) {
        TrafficGenerator generator = new TrafficGenerator(vertx, targets, fileSet, profile, seed);
        generator.context.runOnContext(nothing -> generator.begin(progress));
        return generator.finished.future();
    }

    private void begin(Consumer<TrafficReport> progress) {
        long timer = vertx.setPeriodic(PROGRESS_MILLIS, fired -> progress.accept(report));
        finished.future().onComplete(ended -> vertx.cancelTimer(timer));
        arrivalsRunning = profile.classes().size();
        for (ClassProfile classProfile : profile.classes()) {
            report.ofClass(classProfile.requestClass());
            new ArrivalProcess(classProfile).scheduleNext();
        }
    }

    /** The arrivals of one class, drawn from a random source of its own. */
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
                arrivalsRunning--;
                finishIfIdle();
                return;
            }
            long delayMillis = Math.round(arrivalMillis) - elapsedMillis();
            vertx.setTimer(Math.max(1, delayMillis), timer -> arrive());
        }

        /** Draws at the highest rate of the class; outside its burst the surplus is thinned out. */
        private double drawGapMillis() {
            double highestRate =
                    classProfile.requestsPerSecond() * classProfile.burst().highestFactor();
            return -Math.log(1 - random.nextDouble()) * 1_000 / highestRate;
        }

        private boolean isThinned() {
            RateBurst burst = classProfile.burst();
            double kept = burst.factorAt(arrivalMillis) / burst.highestFactor();
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
        if (arrivalsRunning == 0 && requestsRunning == 0) {
            finished.tryComplete(report);
        }
    }

    /** Sends a request whose times count from its intended arrival, so that a late sender hides no wait. */
    private void send(ClassProfile classProfile, String key, long number, long intendedNanos) {
        requestsRunning++;
        ClassReport classReport = report.ofClass(classProfile.requestClass());
        classReport.request();
        List<String> present = targets.get();
        if (present.isEmpty()) {
            classReport.refused(NO_NODE);
            requestsRunning--;
            return;
        }
        String target = present.get(nextTarget++ % present.size());
        Exchange exchange = new Exchange(classProfile, classReport, number, intendedNanos);
        RequestOptions options = options(classProfile, target, key, exchange.idempotencyKey);
        client.request(options)
                .compose(request -> request.send(exchange.body().toBuffer()))
                .onSuccess(exchange::answered)
                .onFailure(cause -> exchange.broken());
    }

    private static RequestOptions options(ClassProfile classProfile, String target, String key, String idempotencyKey) {
        String path = classProfile.generates() ? "/v1/chat/completions" : classProfile.path();
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

    /** One request and its answer. */
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
        private boolean done;
        private boolean refusedMidway;

        private Exchange(ClassProfile classProfile, ClassReport classReport, long number, long startNanos) {
            this.classProfile = classProfile;
            this.classReport = classReport;
            this.prompt = prompt(classProfile, number);
            this.idempotencyKey = classProfile.requestClass() + "-" + seed + "-" + number;
            this.startNanos = startNanos;
        }

        private JsonObject body() {
            if (!classProfile.generates()) {
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

        private void answered(HttpClientResponse response) {
            if (response.statusCode() != OK) {
                response.body()
                        .onComplete(
                                body -> refused(body.succeeded() ? body.result().toString() : ""));
                return;
            }
            if (!classProfile.generates()) {
                response.body().onSuccess(body -> plainAnswer()).onFailure(cause -> broken());
                return;
            }
            response.handler(chunk -> chunk(chunk.toString()));
            response.exceptionHandler(cause -> broken());
            response.endHandler(nothing -> endOfStream());
        }

        private void chunk(String chunk) {
            pending.append(chunk);
            int end = pending.indexOf("\n");
            while (end >= 0) {
                String line = pending.substring(0, end);
                pending.delete(0, end + 1);
                if (line.startsWith(DATA)) {
                    event(line.substring(DATA.length()));
                }
                end = pending.indexOf("\n");
            }
        }

        private void event(String data) {
            if ("[DONE]".equals(data)) {
                done = true;
                return;
            }
            JsonObject json = new JsonObject(data);
            if (json.containsKey("error")) {
                refusedMidway = true;
                classReport.refused(json.getJsonObject("error").getString("verdict"));
                return;
            }
            JsonObject delta = json.getJsonArray("choices").getJsonObject(0).getJsonObject("delta");
            if (delta.containsKey("content")) {
                if (tokens == 0) {
                    firstTokenNanos = System.nanoTime();
                }
                tokens++;
                tokensBySlot.merge(TrafficReport.slot(elapsedMillis()), 1, Integer::sum);
                text.append(delta.getString("content"));
            }
        }

        private void endOfStream() {
            if (refusedMidway) {
                ended();
                return;
            }
            int expected = AnswerText.length(prompt, classProfile.maxTokens());
            if (!done || !AnswerText.whole(prompt, expected).contentEquals(text)) {
                classReport.wrongAnswer();
                ended();
                return;
            }
            long firstMillis = TimeUnit.NANOSECONDS.toMillis(firstTokenNanos - startNanos);
            double betweenMillis = tokens < 2 ? 0 : (System.nanoTime() - firstTokenNanos) / 1e6 / (tokens - 1);
            classReport.answered(firstMillis, betweenMillis, attained(firstMillis, betweenMillis), tokens);
            report.wholeAnswer(tokensBySlot);
            ended();
        }

        private void plainAnswer() {
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            classReport.answered(millis, 0, attained(millis, 0), 0);
            ended();
        }

        private boolean attained(long firstMillis, double betweenMillis) {
            RequestClass requestClass = fileSet.classes().get(classProfile.requestClass());
            ServiceLevel level = fileSet.serviceLevels().get(requestClass.serviceLevel());
            return firstMillis <= level.firstTokenMillis() && betweenMillis <= level.betweenTokensMillis();
        }

        private void refused(String body) {
            try {
                String verdict = new JsonObject(body).getJsonObject("error").getString("verdict");
                classReport.refused(verdict);
                if (NOT_RUN.equals(verdict) && classProfile.keyed()) {
                    report.addKeyNotRun(idempotencyKey);
                }
            } catch (DecodeException | NullPointerException e) {
                classReport.refused("unreadable");
            }
            ended();
        }

        private void broken() {
            classReport.brokenAnswer();
            ended();
        }

        private void ended() {
            requestsRunning--;
            finishIfIdle();
        }
    }
}
