package io.lagoonseam.entry.stop;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.membership.StopParticipant;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.entry.dispatch.Dispatcher;
import io.lagoonseam.entry.peer.PeerLayer;
import io.lagoonseam.entry.settings.EntrySettings;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.List;

/**
 * Stops a node without cutting anything off: the leave is announced and roles are handed over while the balancer still
 * sends a few requests, then new requests are refused and those in flight finish. What is left at the deadline gets a
 * final answer that says what may have run.
 */
public final class GracefulStop {

    private static final long POLL_MILLIS = 20;
    private static final long LAST_ANSWERS_MILLIS = 500;

    private final Environment environment;

    /**
     * What a stop works with.
     *
     * @param vertx the Vert.x instance
     * @param settings the node's settings
     * @param dispatcher what runs the requests
     * @param peers what talks with other nodes
     * @param participants the parts that hand something over
     * @param refuseRequests makes the node refuse new requests
     * @param invariants the checks at run time
     * @param time the clocks
     * @param events the sink of numbered events
     */
    public record Environment(
            Vertx vertx,
            EntrySettings settings,
            Dispatcher dispatcher,
            PeerLayer peers,
            List<StopParticipant> participants,
            Runnable refuseRequests,
            InvariantMonitor invariants,
            TimeSource time,
            EventSink events) {}

    /**
     * Creates a stop.
     *
     * @param environment what it works with
     */
    public GracefulStop(Environment environment) {
        this.environment = environment;
    }

    /**
     * Runs the stop; readiness has failed already.
     *
     * @return completes when nothing is in flight
     */
    public Future<Void> run() {
        environment
                .events()
                .record(EventCode.NODE_STOPPING, environment.dispatcher().inFlight() + " requests in flight");
        Promise<Void> noticed = Promise.promise();
        environment
                .vertx()
                .setTimer(Math.max(1, environment.settings().leaveNoticeMillis()), timer -> noticed.complete());
        Future<Void> handedOver = within(environment.settings().stopDeadlineMillis(), handOver());
        return noticed.future().compose(nothing -> handedOver).compose(nothing -> {
            environment.refuseRequests().run();
            Promise<Void> drained = Promise.promise();
            long deadlineMillis = nowMillis() + environment.settings().stopDeadlineMillis();
            environment.vertx().setTimer(POLL_MILLIS, timer -> drain(drained, deadlineMillis));
            return drained.future();
        });
    }

    private Future<Void> handOver() {
        return environment
                .peers()
                .leave()
                .transform(left -> Future.join(environment.participants().stream()
                                .map(participant -> Future.fromCompletionStage(participant.handOver()))
                                .toList())
                        .mapEmpty());
    }

    private Future<Void> within(long limitMillis, Future<Void> future) {
        Promise<Void> ended = Promise.promise();
        environment.vertx().setTimer(Math.max(1, limitMillis), timer -> {
            if (ended.tryComplete()) {
                environment.events().record(EventCode.HAND_OVER_FAILED, "not done in " + limitMillis + " ms");
            }
        });
        future.onComplete(result -> {
            if (ended.tryComplete() && result.failed()) {
                environment.events().record(EventCode.HAND_OVER_FAILED, String.valueOf(result.cause()));
            }
        });
        return ended.future();
    }

    private void drain(Promise<Void> drained, long deadlineMillis) {
        int inFlight = environment.dispatcher().inFlight();
        if (inFlight == 0) {
            drained.complete();
            return;
        }
        if (nowMillis() >= deadlineMillis) {
            environment.events().record(EventCode.STOP_DEADLINE_PASSED, inFlight + " requests were cut off");
            environment.invariants().check(Invariant.STOP_CUTS_NOTHING, false, inFlight + " requests at the deadline");
            environment.dispatcher().cutOff();
            environment.vertx().setTimer(LAST_ANSWERS_MILLIS, timer -> drained.complete());
            return;
        }
        environment.vertx().setTimer(POLL_MILLIS, timer -> drain(drained, deadlineMillis));
    }

    private long nowMillis() {
        return environment.time().monotonicMillis();
    }
}
