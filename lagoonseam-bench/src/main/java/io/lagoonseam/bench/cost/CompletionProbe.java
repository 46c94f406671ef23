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

/** Sends streamed completions to one address and measures the first byte of each answer. */
final class CompletionProbe {

    private static final int POOL_SIZE = 2_048;
    private static final int DIGITS = 3;
    private static final int OK = 200;
    private static final int LONGEST_ANSWER_TOKENS = 128;
    private static final String PROMPT = promptOfLongAnswer();

    private final Vertx vertx;
    private final Context context;
    private final HttpClient client;
    private final String url;
    private final Buffer body;

    CompletionProbe(Vertx vertx, String url, int tokens) {
        if (tokens > LONGEST_ANSWER_TOKENS) {
            throw new IllegalArgumentException("answers have at most " + LONGEST_ANSWER_TOKENS + " tokens");
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

    /** Finds a prompt whose answer is at least as long as any that is asked for. */
    private static String promptOfLongAnswer() {
        int number = 0;
        while (AnswerText.length("question " + number, Integer.MAX_VALUE) < LONGEST_ANSWER_TOKENS) {
            number++;
        }
        return "question " + number;
    }

    /** What one phase brought. */
    static final class Phase {

        private final Histogram firstTokenMicros = new Histogram(DIGITS);
        private long completed;
        private long failed;
        private int open;

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

    /** Keeps a number of requests open for a time. */
    Future<Phase> closedLoop(int concurrency, long durationMillis) {
        Phase phase = new Phase();
        Promise<Phase> finished = Promise.promise();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMillis);
        context.runOnContext(nothing -> {
            for (int number = 0; number < concurrency; number++) {
                phase.open++;
                repeat(phase, endNanos, finished);
            }
        });
        return finished.future();
    }

    private void repeat(Phase phase, long endNanos, Promise<Phase> finished) {
        send(phase, System.nanoTime()).onComplete(ended -> {
            if (System.nanoTime() < endNanos) {
                repeat(phase, endNanos, finished);
                return;
            }
            phase.open--;
            if (phase.open == 0) {
                finished.complete(phase);
            }
        });
    }

    /** Sends requests at a steady rate for a time; their times count from the intended moment. */
    Future<Phase> openLoop(double requestsPerSecond, long durationMillis) {
        Phase phase = new Phase();
        Promise<Phase> finished = Promise.promise();
        long startNanos = System.nanoTime();
        double gapNanos = TimeUnit.SECONDS.toNanos(1) / requestsPerSecond;
        long total = Math.round(requestsPerSecond * durationMillis / TimeUnit.SECONDS.toMillis(1));
        context.runOnContext(nothing -> new SteadySender(phase, finished, startNanos, gapNanos, total).sendDue());
        return finished.future();
    }

    /** Sends what is due and waits for the next. */
    private final class SteadySender {

        private final Phase phase;
        private final Promise<Phase> finished;
        private final long startNanos;
        private final double gapNanos;
        private final long total;
        private long sent;

        private SteadySender(Phase phase, Promise<Phase> finished, long startNanos, double gapNanos, long total) {
            this.phase = phase;
            this.finished = finished;
            this.startNanos = startNanos;
            this.gapNanos = gapNanos;
            this.total = total;
        }

        private void sendDue() {
            while (sent < total && intendedNanos() <= System.nanoTime()) {
                phase.open++;
                send(phase, intendedNanos()).onComplete(ended -> ended());
                sent++;
            }
            if (sent < total) {
                vertx.setTimer(1, timer -> sendDue());
            }
        }

        private long intendedNanos() {
            return startNanos + (long) (sent * gapNanos);
        }

        private void ended() {
            phase.open--;
            if (phase.open == 0 && sent == total) {
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
