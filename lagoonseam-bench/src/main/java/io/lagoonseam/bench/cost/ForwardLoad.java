package io.lagoonseam.bench.cost;

import io.lagoonseam.bench.deployment.LocalDeployment;
import io.lagoonseam.standin.operator.PlatformFixtures;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.concurrent.TimeUnit;

/** Sends requests at a constant rate to one address and counts the complete answers. */
final class ForwardLoad {

    private static final int POOL_SIZE = 2_048;
    private static final int OK = 200;

    private final Vertx vertx;
    private final HttpClient client;
    private final String path;
    private final int events;
    private long nextId;

    /**
     * Creates a load.
     *
     * @param vertx the Vert.x instance of the callers
     * @param path the path of the requests
     * @param events the number of events of each answer, or 0 for plain answers
     */
    ForwardLoad(Vertx vertx, String path, int events) {
        this.vertx = vertx;
        this.client = vertx.createHttpClient(new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(POOL_SIZE));
        this.path = path;
        this.events = events;
    }

    /**
     * Sends requests at a constant rate; completes with the number of complete answers when all requests have ended.
     */
    Future<Long> send(int port, double requestsPerSecond, long count) {
        Promise<Long> finished = Promise.promise();
        vertx.runOnContext(nothing -> new Run(port, requestsPerSecond, count, finished).sendDue());
        return finished.future();
    }

    private final class Run {

        private final int port;
        private final double intervalNanos;
        private final long count;
        private final Promise<Long> finished;
        private final long startNanos = System.nanoTime();
        private long sent;
        private long ended;
        private long complete;

        private Run(int port, double requestsPerSecond, long count, Promise<Long> finished) {
            this.port = port;
            this.intervalNanos = TimeUnit.SECONDS.toNanos(1) / requestsPerSecond;
            this.count = count;
            this.finished = finished;
        }

        private void sendDue() {
            while (sent < count && startNanos + (long) (sent * intervalNanos) <= System.nanoTime()) {
                sent++;
                sendOne().onComplete(answer -> {
                    ended++;
                    complete += answer.succeeded() && answer.result() ? 1 : 0;
                    if (ended == count) {
                        finished.complete(complete);
                    }
                });
            }
            if (sent < count) {
                vertx.setTimer(1, timer -> sendDue());
            }
        }

        private Future<Boolean> sendOne() {
            RequestOptions options = new RequestOptions()
                    .setMethod(HttpMethod.POST)
                    .setHost(LocalDeployment.HOST)
                    .setPort(port)
                    .setURI(path);
            nextId++;
            PlatformFixtures.callerHeaders(LocalDeployment.KEY, path.hashCode() + "-" + nextId)
                    .forEach(options::addHeader);
            if (events > 0) {
                PlatformFixtures.promptHeaders("guide", "own" + nextId, events).forEach(options::addHeader);
            }
            return client.request(options)
                    .compose(request -> request.send(Buffer.buffer("{}")))
                    .compose(answer -> answer.statusCode() == OK
                            ? answer.body().map(this::isComplete)
                            : Future.succeededFuture(false));
        }

        private boolean isComplete(Buffer body) {
            return events == 0 ? body.length() > 0 : body.toString().contains("id: " + events + "\n");
        }
    }
}
