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

/** Reads and switches stand-ins over HTTP, waiting for each answer. */
public final class StandInClient {

    private static final long TIMEOUT_SECONDS = 30;

    private final Vertx vertx;
    private final HttpClient client;

    /**
     * Creates a client.
     *
     * @param vertx the Vert.x instance
     */
    public StandInClient(Vertx vertx) {
        this.vertx = vertx;
        this.client = vertx.createHttpClient();
    }

    /**
     * Reads an address.
     *
     * @param url the address
     * @return the JSON that it answers
     */
    public JsonObject get(String url) {
        return exchange(HttpMethod.GET, url, Buffer.buffer());
    }

    /**
     * Posts to an address.
     *
     * @param url the address
     * @param body the body
     * @return the JSON that it answers
     */
    public JsonObject post(String url, JsonObject body) {
        return exchange(HttpMethod.POST, url, body.toBuffer());
    }

    /**
     * Puts to an address.
     *
     * @param url the address
     * @param body the body
     * @return the JSON that it answers
     */
    public JsonObject put(String url, JsonObject body) {
        return exchange(HttpMethod.PUT, url, body.toBuffer());
    }

    private JsonObject exchange(HttpMethod method, String url, Buffer body) {
        RequestOptions options = new RequestOptions().setMethod(method).setAbsoluteURI(url);
        AtomicReference<String> stage = new AtomicReference<>("waiting for a connection");
        Promise<JsonObject> answer = Promise.promise();
        // on the caller's own thread the answer could end before anyone asks for its body, which then never comes
        vertx.runOnContext(nothing -> client.request(options)
                .compose(request -> {
                    stage.set("sent from " + request.connection().localAddress() + ", waiting for the head");
                    return request.send(body);
                })
                .compose(response -> {
                    stage.set("head " + response.statusCode() + " came, waiting for the body");
                    return response.body();
                })
                .map(JsonObject::new)
                .onComplete(answer));
        try {
            return answer.future().await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            throw new IllegalStateException(
                    "no answer from " + url + " within " + TIMEOUT_SECONDS + " s, " + stage.get() + "; threads:\n"
                            + threads(),
                    e);
        }
    }

    /** Tells what the threads were at, since a stand-in that does not answer may be blocked by one of them. */
    private static String threads() {
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
