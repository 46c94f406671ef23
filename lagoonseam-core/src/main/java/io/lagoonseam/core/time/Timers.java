package io.lagoonseam.core.time;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Runs tasks later. */
@FunctionalInterface
public interface Timers {

    /** Timers of the Java platform. */
    Timers SYSTEM = (delayMillis, task) -> CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS)
            .execute(task);

    /**
     * Runs a task once.
     *
     * @param delayMillis when, from now
     * @param task the task
     */
    void schedule(long delayMillis, Runnable task);
}
