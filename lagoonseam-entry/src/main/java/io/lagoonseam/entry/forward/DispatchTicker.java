package io.lagoonseam.entry.forward;

import io.vertx.core.Vertx;
import java.util.function.BooleanSupplier;

/**
 * Runs a task at short intervals as long as there is something to do. Each wake-up costs processor time, and most nodes
 * of a large deployment have nothing waiting most of the time. Not thread-safe: all calls run on one event loop.
 */
final class DispatchTicker {

    private static final long NO_TIMER = -1;

    private final Vertx vertx;
    private final long intervalMillis;
    private final Runnable task;
    private final BooleanSupplier busy;
    private long timer = NO_TIMER;

    /**
     * Creates a ticker that does not run.
     *
     * @param vertx the Vert.x instance that owns the event loop
     * @param intervalMillis the interval, in milliseconds
     * @param task the task
     * @param busy returns whether the task has to run again
     */
    DispatchTicker(Vertx vertx, long intervalMillis, Runnable task, BooleanSupplier busy) {
        this.vertx = vertx;
        this.intervalMillis = intervalMillis;
        this.task = task;
        this.busy = busy;
    }

    /** Runs the task after the interval, and again until there is nothing to do. */
    void wake() {
        if (timer == NO_TIMER) {
            timer = vertx.setTimer(intervalMillis, fired -> run());
        }
    }

    private void run() {
        timer = NO_TIMER;
        task.run();
        if (busy.getAsBoolean()) {
            wake();
        }
    }
}
