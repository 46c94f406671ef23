package io.lagoonseam.bench.cost;

import io.lagoonseam.standin.engine.AnswerText;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Sends streamed completion requests to one address and measures the time to the first byte of each answer. */
final class CompletionProbe {

    private static final int POOL_SIZE = 2_048;
    private static final int HISTOGRAM_DIGITS = 3;
    private static final int OK = 200;
    private static final int MAX_ANSWER_TOKENS = 128;
    private static final String PROMPT = promptOfLongAnswer();

    private final Vertx vertx;
    private final Context context;
    private final HttpClient client;
    private final String url;
    private final Buffer body;

    CompletionProbe(Vertx vertx, String url, int tokens) {
        if (tokens > MAX_ANSWER_TOKENS) {
            throw new IllegalArgumentException(
                    "the engine stand-in generates answers of at most " + MAX_ANSWER_TOKENS + " tokens");
        }
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.client = vertx.createHttpClient(new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(POOL_SIZE));
        this.url = url;
        JsonObject message = new JsonObject().put("role", "user").put("content", PROMPT);
        this.body = new JsonObject()
                .put("model", "care-1")
                .put("stream", true)
                .put("max_tokens", tokens)
                .put("messages", new JsonArray().add(message))
                .toBuffer();
    }

    /**
     * Finds a prompt whose unlimited answer has at least the maximum length, so that max_tokens sets the answer length.
     */
    private static String promptOfLongAnswer() {
        int number = 0;
        while (AnswerText.length("question " + number, Integer.MAX_VALUE) < MAX_ANSWER_TOKENS) {
            number++;
        }
        return "question " + number;
    }

    /** The measurements of one phase of load. */
    static final class Phase {

        private final Histogram firstTokenMicros = new Histogram(HISTOGRAM_DIGITS);
        private long completed;
        private long failed;
        private int inFlight;

        long completed() {
            return completed;
        }

        long failed() {
            return failed;
        }

        double firstTokenMillis(double percentile) {
            return firstTokenMicros.getValueAtPercentile(percentile) / 1_000.0;
        }
    }

    /** Keeps a fixed number of requests in flight for a time; completes with the measurements when all have ended. */
    Future<Phase> closedLoop(int concurrency, long durationMillis) {
        Phase phase = new Phase();
        Promise<Phase> finished = Promise.promise();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMillis);
        context.runOnContext(nothing -> {
            for (int number = 0; number < concurrency; number++) {
                phase.inFlight++;
                sendRepeatedly(phase, endNanos, finished);
            }
        });
        return finished.future();
    }

    private void sendRepeatedly(Phase phase, long endNanos, Promise<Phase> finished) {
        send(phase, System.nanoTime()).onComplete(ended -> {
            if (System.nanoTime() < endNanos) {
                sendRepeatedly(phase, endNanos, finished);
                return;
            }
            phase.inFlight--;
            if (phase.inFlight == 0) {
                finished.complete(phase);
            }
        });
    }

    /**
     * Sends requests at a constant rate for a time; completes with the measurements when all have ended. Latency is
     * measured from the intended send time, so that a late sender does not hide delays.
     */
    Future<Phase> openLoop(double requestsPerSecond, long durationMillis) {
        Phase phase = new Phase();
        Promise<Phase> finished = Promise.promise();
        long startNanos = System.nanoTime();
        double intervalNanos = TimeUnit.SECONDS.toNanos(1) / requestsPerSecond;
        long totalRequests = Math.round(requestsPerSecond * durationMillis / TimeUnit.SECONDS.toMillis(1));
        context.runOnContext(
                nothing -> new ConstantRateSender(phase, finished, startNanos, intervalNanos, totalRequests).sendDue());
        return finished.future();
    }

    /** Sends the requests that are due, then sets a timer for the next. */
    private final class ConstantRateSender {

        private final Phase phase;
        private final Promise<Phase> finished;
        private final long startNanos;
        private final double intervalNanos;
        private final long totalRequests;
        private long sent;

        private ConstantRateSender(
                Phase phase, Promise<Phase> finished, long startNanos, double intervalNanos, long totalRequests) {
            this.phase = phase;
            this.finished = finished;
            this.startNanos = startNanos;
            this.intervalNanos = intervalNanos;
            this.totalRequests = totalRequests;
        }

        private void sendDue() {
            while (sent < totalRequests && intendedNanos() <= System.nanoTime()) {
                phase.inFlight++;
                send(phase, intendedNanos()).onComplete(ended -> recordEnd());
                sent++;
            }
            if (sent < totalRequests) {
                vertx.setTimer(1, timer -> sendDue());
            }
        }

        private long intendedNanos() {
            return startNanos + (long) (sent * intervalNanos);
        }

        private void recordEnd() {
            phase.inFlight--;
            if (phase.inFlight == 0 && sent == totalRequests) {
                finished.tryComplete(phase);
            }
        }
    }

    private Future<Void> send(Phase phase, long startNanos) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setAbsoluteURI(url + "/v1/chat/completions")
                .putHeader("Authorization", "Bearer regina.demo")
                .putHeader("X-Request-Class", "aftercare")
                .putHeader("Content-Type", "application/json");
        return client.request(options)
                .compose(request -> request.send(body))
                .compose(response -> read(response, phase, startNanos))
                .onFailure(cause -> phase.failed++);
    }

    private static Future<Void> read(HttpClientResponse response, Phase phase, long startNanos) {
        if (response.statusCode() != OK) {
            return Future.failedFuture("status " + response.statusCode());
        }
        boolean[] first = {true};
        response.handler(chunk -> {
            if (first[0]) {
                first[0] = false;
                phase.firstTokenMicros.recordValue((System.nanoTime() - startNanos) / 1_000);
            }
        });
        return response.end().onSuccess(ended -> phase.completed++);
    }
}
