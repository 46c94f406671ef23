package io.lagoonseam.bench.fleet;

import static org.testng.Assert.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests calls to stand-ins from threads that are not event loops. */
public final class StandInClientTest {

    private static final int CALLERS = 8;
    private static final int CALLS = 4_000;

    private Vertx vertx;
    private HttpServer server;

    @BeforeClass
    public void start() throws Exception {
        vertx = Vertx.vertx();
        server = vertx.createHttpServer()
                .requestHandler(request -> request.response()
                        .end(new JsonObject().put("path", request.path()).encode()))
                .listen(0, "127.0.0.1")
                .await(10, TimeUnit.SECONDS);
    }

    @AfterClass
    public void stop() throws Exception {
        vertx.close().await(10, TimeUnit.SECONDS);
    }

    /** Guards against a lost body when the answer is complete before the calling thread has registered its handler. */
    @Test(timeOut = 60_000)
    public void answerThatCompletesBeforeTheCallerWaitsIsNotLost() throws Exception {
        StandInClient client = new StandInClient(vertx);
        String url = "http://127.0.0.1:" + server.actualPort();
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        try {
            List<Callable<Integer>> work = new ArrayList<>();
            for (int caller = 0; caller < CALLERS; caller++) {
                String path = "/caller-" + caller;
                work.add(() -> {
                    int answered = 0;
                    for (int call = 0; call < CALLS; call++) {
                        answered += path.equals(client.get(url + path).getString("path")) ? 1 : 0;
                    }
                    return answered;
                });
            }
            for (Future<Integer> answered : callers.invokeAll(work)) {
                assertEquals(answered.get().intValue(), CALLS);
            }
        } finally {
            callers.shutdownNow();
        }
    }
}
