package io.lagoonseam.entry.configuration;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

/** Runs tasks on another executor, one at a time and in the order of submission. */
final class SerialExecutor implements Executor {

    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private final Executor executor;
    private boolean drainScheduled;

    SerialExecutor(Executor executor) {
        this.executor = executor;
    }

    @Override
    public void execute(Runnable task) {
        synchronized (tasks) {
            tasks.add(task);
            if (drainScheduled) {
                return;
            }
            drainScheduled = true;
        }
        try {
            executor.execute(this::drain);
        } catch (RejectedExecutionException e) {
            // The node has stopped and its executor is shut down, so the remaining tasks are dropped.
            synchronized (tasks) {
                tasks.clear();
            }
        }
    }

    private void drain() {
        Runnable task = nextTask();
        while (task != null) {
            task.run();
            task = nextTask();
        }
    }

    private Runnable nextTask() {
        synchronized (tasks) {
            Runnable task = tasks.poll();
            drainScheduled = task != null;
            return task;
        }
    }
}
