package io.lagoonseam.entry.upstream;

import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.placement.EngineControl;
import io.lagoonseam.core.placement.EngineOrder;
import io.lagoonseam.core.placement.EngineState;
import io.lagoonseam.core.placement.OrderResult;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** Reads and orders engines over HTTP. An order that is not answered in time loses its connection. */
public final class HttpEngineControl implements EngineControl {

    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final String PATH = "/orders";
    private static final String DRAIN = "drain";

    private final HttpClient client;
    private final long timeoutMillis;

    /**
     * Creates a control.
     *
     * @param vertx the Vert.x instance
     * @param timeoutMillis the longest time that a call takes, from before its connection is made
     */
    public HttpEngineControl(Vertx vertx, long timeoutMillis) {
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout((int) timeoutMillis).setKeepAlive(false));
        this.timeoutMillis = timeoutMillis;
    }

    private record Answer(int status, Buffer body) {}

    @Override
    public CompletionStage<Optional<EngineState>> read(Upstream engine) {
        return call(engine, HttpMethod.GET, null)
                .map(answer ->
                        answer.status() == OK ? Optional.of(state(answer.body())) : Optional.<EngineState>empty())
                .otherwise(failure -> Optional.empty())
                .toCompletionStage();
    }

    @Override
    public CompletionStage<OrderResult> order(Upstream engine, EngineOrder order) {
        return call(engine, HttpMethod.POST, encode(order))
                .map(HttpEngineControl::toResult)
                .otherwise(failure -> new OrderResult.Failed(String.valueOf(failure.getMessage())))
                .toCompletionStage();
    }

    private static OrderResult toResult(Answer answer) {
        return switch (answer.status()) {
            case OK -> new OrderResult.Accepted(state(answer.body()));
            case CONFLICT -> new OrderResult.Fenced();
            default -> new OrderResult.Failed("status " + answer.status());
        };
    }

    private static Buffer encode(EngineOrder order) {
        JsonArray models = new JsonArray();
        for (EngineOrder.ModelVersion model : order.models()) {
            models.add(new JsonObject().put("name", model.name()).put("version", model.version()));
        }
        return new JsonObject()
                .put("fencing", order.fencing())
                .put("role", order.draining() ? DRAIN : "serve")
                .put("models", models)
                .toBuffer();
    }

    private static EngineState state(Buffer body) {
        JsonObject json = new JsonObject(body);
        List<EngineState.HeldModel> models = new ArrayList<>();
        JsonArray list = json.getJsonArray("models", new JsonArray());
        for (int index = 0; index < list.size(); index++) {
            JsonObject model = list.getJsonObject(index);
            models.add(new EngineState.HeldModel(
                    model.getString("name"), model.getString("version"), "ready".equals(model.getString("state"))));
        }
        return new EngineState(
                json.getLong("fencing", 0L),
                DRAIN.equals(json.getString("role")),
                json.getInteger("running", 0),
                models);
    }

    private Future<Answer> call(Upstream engine, HttpMethod method, Buffer body) {
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(engine.host())
                .setPort(engine.port())
                .setURI(PATH)
                .setConnectTimeout(timeoutMillis);
        long deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000;
        return client.request(options).compose(request -> send(request, body, deadlineNanos));
    }

    private static Future<Answer> send(HttpClientRequest request, Buffer body, long deadlineNanos) {
        long leftMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
        if (leftMillis <= 0) {
            request.reset();
            return Future.failedFuture("connected too late");
        }
        request.idleTimeout(leftMillis);
        return (body == null ? request.send() : request.send(body))
                .compose(response -> response.body().map(content -> new Answer(response.statusCode(), content)));
    }
}
