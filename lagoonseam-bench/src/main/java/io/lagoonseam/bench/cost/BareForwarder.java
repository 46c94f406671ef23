package io.lagoonseam.bench.cost;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;

/** Forwards every request to one worker and decides nothing, as a baseline for the cost of the HTTP library itself. */
final class BareForwarder {

    private static final int POOL_SIZE = 2_048;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final HttpClient client =
            vertx.createHttpClient(new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(POOL_SIZE));
    private final String host;
    private final int workerPort;

    BareForwarder(String host, int workerPort) {
        this.host = host;
        this.workerPort = workerPort;
    }

    Vertx vertx() {
        return vertx;
    }

    /** Starts listening on a free port and completes with the port. */
    Future<Integer> start() {
        return vertx.createHttpServer()
                .requestHandler(this::forward)
                .listen(0, host)
                .map(server -> server.actualPort());
    }

    private void forward(HttpServerRequest request) {
        request.pause();
        RequestOptions options = new RequestOptions()
                .setMethod(request.method())
                .setHost(host)
                .setPort(workerPort)
                .setURI(request.uri());
        client.request(options)
                .compose(upstreamRequest -> sendUpstream(upstreamRequest, request))
                .onSuccess(answer -> forwardAnswer(answer, request.response()))
                .onFailure(cause -> request.response().setStatusCode(502).end());
    }

    private static Future<HttpClientResponse> sendUpstream(
            HttpClientRequest upstreamRequest, HttpServerRequest request) {
        upstreamRequest.headers().addAll(request.headers());
        return upstreamRequest.send(request);
    }

    private static void forwardAnswer(HttpClientResponse answer, HttpServerResponse response) {
        response.setStatusCode(answer.statusCode());
        response.headers().addAll(answer.headers());
        answer.pipeTo(response);
    }
}
