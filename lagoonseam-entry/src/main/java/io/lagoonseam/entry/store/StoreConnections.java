package io.lagoonseam.entry.store;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

/**
 * Pools the connections to a store. Connections may go silent without an error, all of them at the same time, so no
 * call that begins after another call has timed out uses a connection from before. Not thread-safe: all calls are made
 * on one event loop.
 */
public final class StoreConnections {

    private final Vertx vertx;
    private final HttpClientOptions options;
    private final PoolOptions poolOptions;
    private Pool current;

    private static final class Pool {

        private final HttpClient client;
        private int pendingCalls;
        private boolean retired;

        Pool(HttpClient client) {
            this.client = client;
        }

        void closeIfUnused() {
            if (retired && pendingCalls == 0) {
                client.close();
            }
        }
    }

    /**
     * Creates an empty pool.
     *
     * @param vertx the Vert.x instance that the connections run on
     * @param options the options of the connections
     * @param poolOptions the options of the pool
     */
    public StoreConnections(Vertx vertx, HttpClientOptions options, PoolOptions poolOptions) {
        this.vertx = vertx;
        this.options = options;
        this.poolOptions = poolOptions;
        this.current = newPool();
    }

    private Pool newPool() {
        return new Pool(vertx.createHttpClient(options, poolOptions));
    }

    /**
     * Makes a call.
     *
     * @param call sends the request; its result fails with a {@link TimeoutException} if no answer has come in time
     * @return the result of the call; failed if the call throws
     */
    public <T> Future<T> call(Function<HttpClient, Future<T>> call) {
        Pool pool = current;
        pool.pendingCalls++;
        return Future.succeededFuture(pool.client).compose(call).onComplete(result -> {
            pool.pendingCalls--;
            if (result.failed() && result.cause() instanceof TimeoutException) {
                retire(pool);
            }
            pool.closeIfUnused();
        });
    }

    /** Has later calls use new connections; calls that are pending keep theirs. */
    public void renew() {
        Pool pool = current;
        retire(pool);
        pool.closeIfUnused();
    }

    private void retire(Pool pool) {
        pool.retired = true;
        if (pool.equals(current)) {
            current = newPool();
        }
    }
}
