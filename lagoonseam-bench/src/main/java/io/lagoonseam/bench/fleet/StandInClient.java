package io.lagoonseam.bench.fleet;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Reads counters and sets faults of stand-ins over HTTP.
 *
 * <p>Each call blocks for up to 30 seconds until the answer is complete and must not run on an event loop.
 */
public final class StandInClient {

    private static final long TIMEOUT_SECONDS = 30;

    private final Vertx vertx;
    private final HttpClient client;

    /**
     * Creates a client.
     *
     * @param vertx the Vert.x instance that runs the requests
     */
    public StandInClient(Vertx vertx) {
        this.vertx = vertx;
        this.client = vertx.createHttpClient();
    }

    /**
     * Sends a GET request.
     *
     * @param url the absolute URL
     * @return the JSON object in the answer
     * @throws IllegalStateException if the answer is not complete within 30 seconds
     */
    public JsonObject get(String url) {
        return exchange(HttpMethod.GET, url, Buffer.buffer());
    }

    /**
     * Sends a POST request.
     *
     * @param url the absolute URL
     * @param body the request body
     * @return the JSON object in the answer
     * @throws IllegalStateException if the answer is not complete within 30 seconds
     */
    public JsonObject post(String url, JsonObject body) {
        return exchange(HttpMethod.POST, url, body.toBuffer());
    }

    /**
     * Sends a PUT request.
     *
     * @param url the absolute URL
     * @param body the request body
     * @return the JSON object in the answer
     * @throws IllegalStateException if the answer is not complete within 30 seconds
     */
    public JsonObject put(String url, JsonObject body) {
        return exchange(HttpMethod.PUT, url, body.toBuffer());
    }

    private JsonObject exchange(HttpMethod method, String url, Buffer body) {
        RequestOptions options = new RequestOptions().setMethod(method).setAbsoluteURI(url);
        AtomicReference<String> stage = new AtomicReference<>("waiting for a connection");
        Promise<JsonObject> answer = Promise.promise();
        // Runs on an event loop: on the calling thread, the answer could end before its body is requested, and the
        // future of the body would never complete.
        vertx.runOnContext(nothing -> client.request(options)
                .compose(request -> {
                    stage.set("sent from " + request.connection().localAddress() + ", waiting for the header section");
                    return request.send(body);
                })
                .compose(response -> {
                    stage.set("status " + response.statusCode() + " received, waiting for the body");
                    return response.body();
                })
                .map(JsonObject::new)
                .onComplete(answer));
        try {
            return answer.future().await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            throw new IllegalStateException(
                    "no answer from " + url + " within " + TIMEOUT_SECONDS + " s, " + stage.get() + "; threads:\n"
                            + threadDump(),
                    e);
        }
    }

    /** Returns a dump of all threads, since a stand-in that does not answer may be blocked by one of them. */
    private static String threadDump() {
        StringBuilder text = new StringBuilder();
        Thread.getAllStackTraces().forEach((thread, frames) -> {
            text.append(thread.getName()).append(' ').append(thread.getState()).append('\n');
            for (StackTraceElement frame : frames) {
                text.append("    ").append(frame).append('\n');
            }
        });
        return text.toString();
    }
}
