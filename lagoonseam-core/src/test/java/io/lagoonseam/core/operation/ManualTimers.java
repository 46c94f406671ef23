package io.lagoonseam.core.operation;

import io.lagoonseam.core.time.ManualTimeSource;
import io.lagoonseam.core.time.Timers;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Timers that run a task when a manual clock is advanced past its due time. */
final class ManualTimers implements Timers {

    private record Task(long dueMillis, long sequence, Runnable action) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::dueMillis).thenComparingLong(Task::sequence));
    private final ManualTimeSource time;
    private long sequence;

    ManualTimers(ManualTimeSource time) {
        this.time = time;
    }

    @Override
    public void schedule(long delayMillis, Runnable task) {
        tasks.add(new Task(time.monotonicMillis() + delayMillis, sequence++, task));
    }

    void advance(long millis) {
        long endMillis = time.monotonicMillis() + millis;
        while (!tasks.isEmpty() && tasks.peek().dueMillis() <= endMillis) {
            Task task = tasks.poll();
            time.advanceMillis(task.dueMillis() - time.monotonicMillis());
            task.action().run();
        }
        time.advanceMillis(endMillis - time.monotonicMillis());
    }
}
