package io.lagoonseam.entry.configuration.fleet;

import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.core.time.Timers;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A clock and timers that advance directly to the next task, so that a test of minutes runs fast and deterministically.
 */
public final class VirtualTime implements TimeSource, Timers {

    private static final long START_WALL_MILLIS = 1_700_000_000_000L;

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::number));
    private long nowMillis;
    private long number;

    private record Task(long atMillis, long number, Runnable action) {}

    @Override
    public long monotonicNanos() {
        return nowMillis * 1_000_000;
    }

    @Override
    public long wallMillis() {
        return START_WALL_MILLIS + nowMillis;
    }

    @Override
    public void schedule(long delayMillis, Runnable action) {
        number++;
        tasks.add(new Task(nowMillis + Math.max(0, delayMillis), number, action));
    }

    public void runFor(long millis) {
        long endMillis = nowMillis + millis;
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= endMillis) {
            Task task = tasks.poll();
            nowMillis = task.atMillis();
            task.action().run();
        }
        nowMillis = endMillis;
    }
}
