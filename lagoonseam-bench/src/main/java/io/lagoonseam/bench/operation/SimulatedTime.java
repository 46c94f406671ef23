package io.lagoonseam.bench.operation;

import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.core.time.Timers;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * Simulates a clock and timers. The clock advances to the due time of each task; all tasks run on the calling thread.
 */
public final class SimulatedTime implements TimeSource, Timers {

    private record Task(long dueMillis, long sequence, Runnable action) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::dueMillis).thenComparingLong(Task::sequence));
    private long nowMillis;
    private long sequence;

    @Override
    public long monotonicNanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    @Override
    public long wallMillis() {
        return nowMillis;
    }

    @Override
    public void schedule(long delayMillis, Runnable task) {
        tasks.add(new Task(nowMillis + Math.max(0, delayMillis), sequence++, task));
    }

    /**
     * Runs all tasks due up to a time, in order of their due times, and advances the clock to that time.
     *
     * @param endMillis the simulated time in milliseconds at which the clock stops
     */
    public void runUntil(long endMillis) {
        while (!tasks.isEmpty() && tasks.peek().dueMillis() <= endMillis) {
            Task task = tasks.poll();
            nowMillis = task.dueMillis();
            task.action().run();
        }
        nowMillis = endMillis;
    }
}
