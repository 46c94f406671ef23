package io.lagoonseam.entry.platform;

import io.lagoonseam.core.platform.ListResult;
import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.core.platform.ObjectVersion;
import io.lagoonseam.core.platform.ReadResult;
import io.lagoonseam.core.platform.VmEntry;
import io.lagoonseam.core.platform.VmList;
import io.lagoonseam.core.platform.WatchResult;
import io.lagoonseam.core.platform.WriteCondition;
import io.lagoonseam.core.platform.WriteResult;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** Accesses the platform's object store and VM list over HTTP. */
public final class PlatformClient implements ObjectStore, VmList {

    private static final long CALL_TIMEOUT_MILLIS = 3_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_CONNECTIONS = 64;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int PRECONDITION_FAILED = 412;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final HttpClient client;
    private final String url;

    /**
     * Creates a client.
     *
     * @param vertx the Vert.x instance that the HTTP client runs on
     * @param url the base URL of the platform, without a trailing slash
     */
    public PlatformClient(Vertx vertx, String url) {
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
        this.url = url;
    }

    private record Answer(int status, String etag, Buffer body) {

        JsonObject json() {
            return body.toJsonObject();
        }
    }

    @Override
    public CompletionStage<ReadResult> read(String name) {
        return call(options(HttpMethod.GET, "/objects/" + name), null, CALL_TIMEOUT_MILLIS)
                .map(PlatformClient::toReadResult)
                .otherwise(failure -> new ReadResult.Unavailable(String.valueOf(failure.getMessage())))
                .toCompletionStage();
    }

    private static ReadResult toReadResult(Answer answer) {
        return switch (answer.status()) {
            case OK ->
                new ReadResult.Found(version(answer.etag()), answer.body().getBytes());
            case NOT_FOUND -> new ReadResult.Absent();
            default -> new ReadResult.Unavailable("status " + answer.status());
        };
    }

    @Override
    public CompletionStage<WriteResult> write(String name, byte[] value, WriteCondition condition) {
        return change(HttpMethod.PUT, name, Buffer.buffer(value), condition);
    }

    @Override
    public CompletionStage<WriteResult> delete(String name, WriteCondition condition) {
        return change(HttpMethod.DELETE, name, null, condition);
    }

    private CompletionStage<WriteResult> change(
            HttpMethod method, String name, Buffer value, WriteCondition condition) {
        RequestOptions options = options(method, "/objects/" + name);
        if (condition instanceof WriteCondition.IfVersion ifVersion) {
            options.putHeader("If-Match", "\"" + ifVersion.version() + "\"");
        } else if (condition instanceof WriteCondition.IfAbsent) {
            options.putHeader("If-None-Match", "*");
        }
        Future<HttpClientRequest> connected = client.request(options);
        Future<WriteResult> result = connected.transform(connection -> connection.failed()
                ? Future.succeededFuture(new WriteResult.Unavailable(
                        String.valueOf(connection.cause().getMessage())))
                : send(connection.result(), value, CALL_TIMEOUT_MILLIS)
                        .map(PlatformClient::toWriteResult)
                        .otherwise(failure -> new WriteResult.Unknown(String.valueOf(failure.getMessage()))));
        return result.toCompletionStage();
    }

    private static WriteResult toWriteResult(Answer answer) {
        return switch (answer.status()) {
            case OK -> new WriteResult.Written(version(answer.etag()));
            case PRECONDITION_FAILED -> new WriteResult.Conflict();
            case CONTENT_TOO_LARGE, TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE ->
                new WriteResult.Unavailable("status " + answer.status());
            default -> new WriteResult.Unknown("status " + answer.status());
        };
    }

    @Override
    public CompletionStage<ListResult> list(String prefix) {
        return call(options(HttpMethod.GET, "/objects?prefix=" + encode(prefix)), null, CALL_TIMEOUT_MILLIS)
                .map(PlatformClient::toListResult)
                .otherwise(failure -> new ListResult.Unavailable(String.valueOf(failure.getMessage())))
                .toCompletionStage();
    }

    private static ListResult toListResult(Answer answer) {
        if (answer.status() != OK) {
            return new ListResult.Unavailable("status " + answer.status());
        }
        JsonObject body = answer.json();
        return new ListResult.Listed(body.getLong("revision"), versions(body.getJsonArray("objects")));
    }

    @Override
    public CompletionStage<WatchResult> watch(String prefix, long afterRevision, long timeoutMillis) {
        String path = "/watch?prefix=" + encode(prefix) + "&after=" + afterRevision + "&timeoutMillis=" + timeoutMillis;
        return call(options(HttpMethod.GET, path), null, timeoutMillis + CALL_TIMEOUT_MILLIS)
                .map(PlatformClient::toWatchResult)
                .otherwise(failure -> new WatchResult.Unavailable(String.valueOf(failure.getMessage())))
                .toCompletionStage();
    }

    private static WatchResult toWatchResult(Answer answer) {
        if (answer.status() != OK) {
            return new WatchResult.Unavailable("status " + answer.status());
        }
        JsonObject body = answer.json();
        return new WatchResult.Changed(body.getLong("revision"), versions(body.getJsonArray("changes")));
    }

    @Override
    public CompletionStage<List<VmEntry>> listVms() {
        return call(options(HttpMethod.GET, "/vms"), null, CALL_TIMEOUT_MILLIS)
                .map(answer -> {
                    if (answer.status() != OK) {
                        throw new IllegalStateException("status " + answer.status());
                    }
                    return vms(answer.json().getJsonArray("vms"));
                })
                .toCompletionStage();
    }

    private static List<VmEntry> vms(JsonArray list) {
        List<VmEntry> entries = new ArrayList<>();
        for (int index = 0; index < list.size(); index++) {
            JsonObject vm = list.getJsonObject(index);
            entries.add(new VmEntry(
                    vm.getString("name"), vm.getString("dataCentre", ""), "leaving".equals(vm.getString("state"))));
        }
        return entries;
    }

    private static List<ObjectVersion> versions(JsonArray list) {
        List<ObjectVersion> versions = new ArrayList<>();
        for (int index = 0; index < list.size(); index++) {
            JsonObject item = list.getJsonObject(index);
            versions.add(new ObjectVersion(
                    item.getString("name"), item.getLong("version"), item.getBoolean("deleted", false)));
        }
        return versions;
    }

    private RequestOptions options(HttpMethod method, String path) {
        return new RequestOptions()
                .setMethod(method)
                .setAbsoluteURI(url + path)
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    }

    private Future<Answer> call(RequestOptions options, Buffer body, long timeoutMillis) {
        return client.request(options).compose(request -> send(request, body, timeoutMillis));
    }

    private static Future<Answer> send(HttpClientRequest request, Buffer body, long timeoutMillis) {
        request.idleTimeout(timeoutMillis);
        return (body == null ? request.send() : request.send(body))
                .compose(response -> response.body()
                        .map(content -> new Answer(response.statusCode(), response.getHeader("ETag"), content)));
    }

    private static long version(String etag) {
        return Long.parseLong(etag.replace("\"", ""));
    }

    private static String encode(String value) {
        return URLEncoder.encode(value, StandardCharsets.UTF_8);
    }
}
