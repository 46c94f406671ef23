package io.lagoonseam.entry.upstream;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.routing.CacheEvent;
import io.lagoonseam.core.verdict.Verdict;
import io.lagoonseam.entry.http.BoundedBody;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;

/** HTTP client for model engines and plain services. */
public final class UpstreamClient {

    private static final int MIN_STATUS = 200;
    private static final int MAX_STATUS = 599;

    /** The largest answer of a plain service, in bytes. */
    private static final int MAX_PLAIN_ANSWER_BYTES = 8 << 20;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long CONTROL_REQUEST_TIMEOUT_MILLIS = 1_000;
    private static final int POOL_SIZE = 1_024;

    private final Vertx vertx;
    private final HttpClient client;
    private final HttpClient streamClient;
    private final UpstreamConnections connections = new UpstreamConnections();

    /**
     * Creates a client.
     *
     * @param vertx the Vert.x instance
     */
    public UpstreamClient(Vertx vertx) {
        this.vertx = vertx;
        HttpClientOptions options = new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(POOL_SIZE);
        this.client = vertx.createHttpClient(options, pool);
        this.streamClient = vertx.httpClientBuilder()
                .with(options)
                .with(pool)
                .withConnectHandler(connections::opened)
                .build();
    }

    private static RequestOptions options(HttpMethod method, Upstream upstream, String path) {
        return new RequestOptions()
                .setMethod(method)
                .setHost(upstream.host())
                .setPort(upstream.port())
                .setURI(path)
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    }

    /**
     * Starts to generate an answer, from an offset if the caller already has a part of it.
     *
     * @param upstream the engine
     * @param request the request
     * @param timeouts the idle timeouts of the stream
     * @param offset the number of tokens that the caller already has
     * @param listener receives the events of the attempt
     * @return the running attempt, to cancel it
     */
    public StreamAttempt generate(
            Upstream upstream, GenerateRequest request, StreamTimeouts timeouts, int offset, StreamListener listener) {
        RequestOptions options = options(HttpMethod.POST, upstream, "/v1/chat/completions")
                .putHeader("Content-Type", "application/json")
                .putHeader("X-Request-Id", request.requestId())
                .putHeader("X-Priority", Integer.toString(request.priority()));
        if (offset > 0) {
            options.putHeader("X-Continue-Offset", Integer.toString(offset));
        }
        StreamAttempt attempt = newAttempt(upstream, request, timeouts, offset, listener);
        return connect(attempt, options, request.body());
    }

    /**
     * Resumes a stream that the engine still holds, from an offset.
     *
     * @param upstream the engine
     * @param streamId the id of the stream
     * @param request the request that opened it
     * @param timeouts the idle timeouts of the stream
     * @param offset the number of tokens that the caller already has
     * @param listener receives the events of the attempt
     * @return the running attempt, to cancel it
     */
    public StreamAttempt resume(
            Upstream upstream,
            String streamId,
            GenerateRequest request,
            StreamTimeouts timeouts,
            int offset,
            StreamListener listener) {
        RequestOptions options = options(HttpMethod.GET, upstream, "/streams/" + streamId + "?offset=" + offset);
        StreamAttempt attempt = newAttempt(upstream, request, timeouts, offset, listener);
        return connect(attempt, options, null);
    }

    private StreamAttempt newAttempt(
            Upstream upstream, GenerateRequest request, StreamTimeouts timeouts, int offset, StreamListener listener) {
        UpstreamConnections.Key key = new UpstreamConnections.Key(upstream.host(), upstream.port());
        return new StreamAttempt(vertx, connections, key, request.requestId(), timeouts, offset, listener);
    }

    private StreamAttempt connect(StreamAttempt attempt, RequestOptions options, Buffer body) {
        streamClient.request(options).onComplete(connected -> {
            if (connected.succeeded()) {
                attempt.send(connected.result(), body);
            } else {
                attempt.connectFailed(connected.cause());
            }
        });
        return attempt;
    }

    /**
     * Cancels a stream. A failure is not reported, because the engine drops a stream that has no reader.
     *
     * @param upstream the engine
     * @param streamId the id of the stream
     */
    public void cancel(Upstream upstream, String streamId) {
        client.request(options(HttpMethod.DELETE, upstream, "/streams/" + streamId))
                .compose(request ->
                        request.idleTimeout(CONTROL_REQUEST_TIMEOUT_MILLIS).send());
    }

    /**
     * Sends a request to a plain service.
     *
     * @param upstream the upstream
     * @param request the request
     * @param listener receives the outcome of the attempt
     */
    public void call(Upstream upstream, PlainRequest request, PlainListener listener) {
        RequestOptions options = options(request.method(), upstream, request.path())
                .putHeader("X-Request-Id", request.requestId())
                .putHeader("Content-Type", request.contentType());
        request.idempotencyKey().ifPresent(key -> options.putHeader("Idempotency-Key", key));
        client.request(options).onComplete(connected -> {
            if (connected.succeeded()) {
                sendPlain(connected.result(), request, listener);
            } else {
                listener.failed(new AttemptFailure(
                        EventCode.CONNECT_FAILED,
                        Verdict.NOT_RUN,
                        String.valueOf(connected.cause().getMessage()),
                        false));
            }
        });
    }

    private static void sendPlain(HttpClientRequest connected, PlainRequest request, PlainListener listener) {
        listener.sending();
        connected.idleTimeout(request.idleTimeoutMillis());
        connected
                .send(request.body())
                .compose(response -> readPlain(response).onFailure(cause -> connected.reset()))
                .onSuccess(answer -> answeredPlain(answer, request, listener))
                .onFailure(cause -> listener.failed(new AttemptFailure(
                        EventCode.CONNECTION_BROKEN, Verdict.MAY_HAVE_RUN, String.valueOf(cause.getMessage()), false)));
    }

    private record IdentifiedAnswer(String requestId, PlainAnswer answer) {}

    private static Future<IdentifiedAnswer> readPlain(HttpClientResponse response) {
        int status = response.statusCode();
        if (status < MIN_STATUS || status > MAX_STATUS) {
            return Future.failedFuture(new IOException("status " + status + " is none of the protocol"));
        }
        String contentType = response.getHeader("Content-Type");
        return BoundedBody.read(response, MAX_PLAIN_ANSWER_BYTES)
                .map(body -> new IdentifiedAnswer(
                        response.getHeader("X-Request-Id"),
                        new PlainAnswer(
                                response.statusCode(),
                                contentType == null ? "application/octet-stream" : contentType,
                                body)));
    }

    private static void answeredPlain(IdentifiedAnswer identified, PlainRequest request, PlainListener listener) {
        if (identified.requestId() != null && !identified.requestId().equals(request.requestId())) {
            listener.failed(new AttemptFailure(
                    EventCode.ANSWER_MISMATCHED,
                    Verdict.MAY_HAVE_RUN,
                    "expected " + request.requestId() + " but got " + identified.requestId(),
                    false));
            return;
        }
        listener.answered(identified.answer());
    }

    /**
     * Reads from a plain service whether an operation ran.
     *
     * @param upstream the upstream
     * @param statusPath the path under which the service reports the status of an operation by key
     * @param key the idempotency key of the operation
     * @return whether the service reports that the operation ran; false does not exclude that it will run later
     */
    public Future<Boolean> readOperationRan(Upstream upstream, String statusPath, String key) {
        String path = statusPath + "/" + URLEncoder.encode(key, StandardCharsets.UTF_8);
        return client.request(options(HttpMethod.GET, upstream, path))
                .compose(request ->
                        request.idleTimeout(CONTROL_REQUEST_TIMEOUT_MILLIS).send())
                .compose(HttpClientResponse::body)
                .map(body -> new JsonObject(body).getBoolean("ran", false));
    }

    /**
     * Reads the events of an engine's prefix cache.
     *
     * @param upstream the engine
     * @param after the sequence number of the last known event
     * @return the later events that the engine reports; a gap in their sequence numbers means that events were lost
     */
    public Future<List<CacheEvent>> readCacheEvents(Upstream upstream, long after) {
        return client.request(options(HttpMethod.GET, upstream, "/cache/events?after=" + after))
                .compose(request ->
                        request.idleTimeout(CONTROL_REQUEST_TIMEOUT_MILLIS).send())
                .compose(HttpClientResponse::body)
                .map(body -> new JsonObject(body).getJsonArray("events", new JsonArray()))
                .map(events -> IntStream.range(0, events.size())
                        .mapToObj(index -> cacheEvent(events.getJsonObject(index)))
                        .toList());
    }

    private static CacheEvent cacheEvent(JsonObject event) {
        return new CacheEvent(
                event.getLong("sequence"), event.getInteger("block"), "stored".equals(event.getString("kind")));
    }

    /**
     * Reads an upstream's load report.
     *
     * @param upstream the upstream
     * @return the upstream's own report of running and waiting requests and of whether it accepts new ones
     */
    public Future<LoadReport> readLoad(Upstream upstream) {
        return client.request(options(HttpMethod.GET, upstream, "/load"))
                .compose(request ->
                        request.idleTimeout(CONTROL_REQUEST_TIMEOUT_MILLIS).send())
                .compose(HttpClientResponse::body)
                .map(JsonObject::new)
                .map(UpstreamClient::toLoadReport);
    }

    /**
     * Parses a load report. An empty list of ready models means that the engine is not serving; no list means it is.
     */
    private static LoadReport toLoadReport(JsonObject body) {
        JsonArray models = body.getJsonArray("models");
        boolean serving = models == null || !models.isEmpty();
        return new LoadReport(body.getInteger("running", 0), body.getInteger("waiting", 0), serving);
    }
}
