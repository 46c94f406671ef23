package io.lagoonseam.entry.configuration;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

/** Runs tasks one at a time, in the order of their arrival, on another executor. */
final class SerialExecutor implements Executor {

    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private final Executor executor;
    private boolean running;

    SerialExecutor(Executor executor) {
        this.executor = executor;
    }

    @Override
    public void execute(Runnable task) {
        synchronized (tasks) {
            tasks.add(task);
            if (running) {
                return;
            }
            running = true;
        }
        try {
            executor.execute(this::drain);
        } catch (RejectedExecutionException e) {
            // The node has ended; what is left has no effect any more.
            synchronized (tasks) {
                tasks.clear();
            }
        }
    }

    private void drain() {
        Runnable task = next();
        while (task != null) {
            task.run();
            task = next();
        }
    }

    private Runnable next() {
        synchronized (tasks) {
            Runnable task = tasks.poll();
            running = task != null;
            return task;
        }
    }
}
