package io.lagoonseam.core.time;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Schedules tasks to run after a delay. */
@FunctionalInterface
public interface Timers {

    /** Runs tasks in the default executor of {@link CompletableFuture}. */
    Timers SYSTEM = (delayMillis, task) -> CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS)
            .execute(task);

    /**
     * Schedules a task to run once.
     *
     * @param delayMillis the delay from now, in ms
     * @param task the task
     */
    void schedule(long delayMillis, Runnable task);
}
