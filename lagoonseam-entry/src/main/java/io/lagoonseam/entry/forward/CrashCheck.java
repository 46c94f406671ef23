package io.lagoonseam.entry.forward;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.forward.UpstreamDirectory;
import io.lagoonseam.core.forward.UpstreamRecord;
import io.lagoonseam.core.ratelimit.WorkerIncarnation;
import io.vertx.core.Future;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.net.ConnectException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/**
 * Tells whether a worker crashed when an attempt at it broke off: one that has not announced its leaving refuses new
 * connections. A worker that was reset or cut off does not refuse them, unless it is this node that is cut off: then
 * all workers of the service refuse it, and another node reaches them.
 */
final class CrashCheck {

    private static final int CONNECT_TIMEOUT_MILLIS = 400;

    /** How long a crash is remembered, in milliseconds: attempts at one worker do not all break off at once. */
    private static final long REMEMBERED_MILLIS = 1_000;

    private final ForwardEnvironment environment;
    private final UpstreamDirectory directory;
    private final WorkerReach reach;
    private final Function<String, CompletionStage<Boolean>> reachedByOthers;
    private final NetClient client;
    private final Map<WorkerIncarnation, Future<Boolean>> running = new HashMap<>();

    /**
     * Creates a check.
     *
     * @param environment the shared dependencies of the node
     * @param directory the workers that are known
     * @param reach knows whether this node reaches the workers of a service
     * @param reachedByOthers tells of a service by name whether another node reaches its workers
     */
    CrashCheck(
            ForwardEnvironment environment,
            UpstreamDirectory directory,
            WorkerReach reach,
            Function<String, CompletionStage<Boolean>> reachedByOthers) {
        this.environment = environment;
        this.directory = directory;
        this.reach = reach;
        this.reachedByOthers = reachedByOthers;
        this.client =
                environment.vertx().createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
    }

    /**
     * Checks a worker whose connection has just closed. Attempts that break off at the same time share one check.
     *
     * @param worker the record of the worker
     * @return whether it crashed; never fails
     */
    Future<Boolean> crashed(UpstreamRecord worker) {
        boolean serving = directory.serving().stream().anyMatch(worker::sameIncarnation);
        if (!serving) {
            return Future.succeededFuture(false);
        }
        WorkerIncarnation incarnation = worker.incarnation();
        Future<Boolean> known = running.get(incarnation);
        if (known != null) {
            return known;
        }
        Future<Boolean> check = client.connect(worker.port(), worker.host())
                .map(socket -> {
                    socket.close();
                    return false;
                })
                .recover(cause -> refused(cause) ? notCutOff(worker) : Future.succeededFuture(false));
        running.put(incarnation, check);
        check.onSuccess(crashed -> {
            if (!crashed) {
                running.remove(incarnation);
            } else {
                environment.vertx().setTimer(REMEMBERED_MILLIS, timer -> running.remove(incarnation));
                environment
                        .events()
                        .recordDecision(
                                EventCode.UPSTREAM_CRASHED, "", "worker", worker.id(), "service", worker.service());
            }
        });
        return check;
    }

    /** Returns whether a worker that refuses connections does so since it crashed. */
    private Future<Boolean> notCutOff(UpstreamRecord worker) {
        return Future.fromCompletionStage(
                reach.verify(worker.service(), worker.id(), environment.time().monotonicMillis())
                        .thenCompose(reached -> reached
                                ? CompletableFuture.completedFuture(true)
                                : reachedByOthers.apply(worker.service()).thenApply(others -> !others)));
    }

    private static boolean refused(Throwable cause) {
        return cause instanceof ConnectException
                && String.valueOf(cause.getMessage()).contains("refused");
    }
}
