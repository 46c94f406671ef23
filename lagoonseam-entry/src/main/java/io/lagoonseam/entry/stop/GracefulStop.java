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
 * Shuts a node down gracefully. The node announces that it is leaving and hands over its roles while the load balancer
 * still sends requests; then it refuses new requests and waits for those in flight. Requests still in flight at the
 * stop deadline get a final answer whose verdict says whether they may have run.
 */
public final class GracefulStop {

    private static final long POLL_MILLIS = 20;
    /** Time for sending the final answers after the stop deadline. */
    private static final long FINAL_ANSWERS_MILLIS = 500;

    private final Environment environment;

    /**
     * The settings and collaborators of a graceful shutdown.
     *
     * @param vertx the Vert.x instance
     * @param settings the node's settings
     * @param dispatcher runs the requests
     * @param peers the communication with other nodes
     * @param participants the parts of the node that hand over responsibilities
     * @param refuseRequests makes the node refuse new requests
     * @param invariants the monitor of invariants at run time
     * @param time the wall clock and the monotonic clock
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
     * Creates a graceful shutdown without starting it.
     *
     * @param environment the settings and collaborators
     */
    public GracefulStop(Environment environment) {
        this.environment = environment;
    }

    /**
     * Runs the graceful shutdown. The readiness check of the node must fail already.
     *
     * @return completes when no request is in flight, or 500 ms after the stop deadline, which starts when the leave
     *     notice has elapsed and the hand-over has ended
     */
    public Future<Void> run() {
        environment
                .events()
                .record(EventCode.NODE_STOPPING, environment.dispatcher().inFlight() + " requests in flight");
        Promise<Void> noticeElapsed = Promise.promise();
        environment
                .vertx()
                .setTimer(Math.max(1, environment.settings().leaveNoticeMillis()), timer -> noticeElapsed.complete());
        Future<Void> handOverEnded = withTimeout(environment.settings().stopDeadlineMillis(), handOver());
        return noticeElapsed.future().compose(nothing -> handOverEnded).compose(nothing -> {
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

    /**
     * Returns a future that completes when the given one does, successfully or not, or at the time limit. A failure or
     * a timeout is recorded as an event.
     */
    private Future<Void> withTimeout(long limitMillis, Future<Void> future) {
        Promise<Void> ended = Promise.promise();
        environment.vertx().setTimer(Math.max(1, limitMillis), timer -> {
            if (ended.tryComplete()) {
                environment
                        .events()
                        .record(EventCode.HAND_OVER_FAILED, "hand-over not completed within " + limitMillis + " ms");
            }
        });
        future.onComplete(result -> {
            if (ended.tryComplete() && result.failed()) {
                environment.events().record(EventCode.HAND_OVER_FAILED, String.valueOf(result.cause()));
            }
        });
        return ended.future();
    }

    /** Polls until no request is in flight or the deadline has passed. */
    private void drain(Promise<Void> drained, long deadlineMillis) {
        int inFlight = environment.dispatcher().inFlight();
        if (inFlight == 0) {
            drained.complete();
            return;
        }
        if (nowMillis() >= deadlineMillis) {
            environment
                    .events()
                    .record(
                            EventCode.STOP_DEADLINE_PASSED,
                            inFlight + " requests in flight were aborted at the stop deadline");
            environment
                    .invariants()
                    .check(Invariant.STOP_CUTS_NOTHING, false, inFlight + " requests in flight at the stop deadline");
            environment.dispatcher().abortInFlight();
            environment.vertx().setTimer(FINAL_ANSWERS_MILLIS, timer -> drained.complete());
            return;
        }
        environment.vertx().setTimer(POLL_MILLIS, timer -> drain(drained, deadlineMillis));
    }

    private long nowMillis() {
        return environment.time().monotonicMillis();
    }
}
