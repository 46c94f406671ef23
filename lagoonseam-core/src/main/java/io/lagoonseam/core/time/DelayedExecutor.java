package io.lagoonseam.core.time;

/** Runs tasks later. */
@FunctionalInterface
public interface DelayedExecutor {

    /**
     * Runs a task after a delay.
     *
     * @param delayMillis the delay, 0 for as soon as possible
     * @param task the task, which must not block
     */
    void schedule(long delayMillis, Runnable task);
}
