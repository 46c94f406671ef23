package io.lagoonseam.entry.forward;

import io.vertx.core.Vertx;

/** A timer that can be restarted and cancelled. */
final class RequestTimer {

    private final Vertx vertx;
    private long id = -1;

    RequestTimer(Vertx vertx) {
        this.vertx = vertx;
    }

    /**
     * Starts the timer anew.
     *
     * @param delayMillis the delay, in milliseconds; at least 1 applies
     * @param task runs unless the timer is restarted or cancelled before
     */
    void restart(long delayMillis, Runnable task) {
        cancel();
        id = vertx.setTimer(Math.max(1, delayMillis), timer -> task.run());
    }

    void cancel() {
        vertx.cancelTimer(id);
    }
}
