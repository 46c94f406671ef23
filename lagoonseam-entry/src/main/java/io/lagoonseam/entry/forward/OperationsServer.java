package io.lagoonseam.entry.forward;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import io.lagoonseam.entry.settings.ListenAddress;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Serves the readiness check and the metrics as plain text. */
final class OperationsServer {

    private static final int READY = 200;
    private static final int NOT_READY = 503;
    private static final int NOT_FOUND = 404;

    private final Vertx vertx;
    private final BooleanSupplier ready;
    private final MetricRegistry registry;

    OperationsServer(Vertx vertx, BooleanSupplier ready, MetricRegistry registry) {
        this.vertx = vertx;
        this.ready = ready;
        this.registry = registry;
    }

    Future<HttpServer> listen(ListenAddress address) {
        return vertx.createHttpServer().requestHandler(this::handle).listen(address.port(), address.host());
    }

    private void handle(HttpServerRequest request) {
        switch (request.path()) {
            case "/ready" ->
                request.response()
                        .setStatusCode(ready.getAsBoolean() ? READY : NOT_READY)
                        .end();
            case "/metrics" ->
                request.response().putHeader("Content-Type", "text/plain").end(metricsText());
            default -> request.response().setStatusCode(NOT_FOUND).end();
        }
    }

    private String metricsText() {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Counter> entry : registry.getCounters().entrySet()) {
            appendLine(text, entry.getKey(), entry.getValue().getCount());
        }
        registry.getGauges().forEach((name, gauge) -> appendLine(text, name, gauge.getValue()));
        for (Map.Entry<String, Timer> entry : registry.getTimers().entrySet()) {
            Snapshot snapshot = entry.getValue().getSnapshot();
            appendLine(text, entry.getKey() + ".count", entry.getValue().getCount());
            appendLine(text, entry.getKey() + ".p50_ms", millis(snapshot.getMedian()));
            appendLine(text, entry.getKey() + ".p95_ms", millis(snapshot.get95thPercentile()));
            appendLine(text, entry.getKey() + ".p99_ms", millis(snapshot.get99thPercentile()));
        }
        return text.toString();
    }

    private static double millis(double nanos) {
        return nanos / TimeUnit.MILLISECONDS.toNanos(1);
    }

    private static void appendLine(StringBuilder text, String name, Object value) {
        text.append(name).append(' ').append(value).append('\n');
    }
}
