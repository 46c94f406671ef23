package io.lagoonseam.bench.experiment.placement;

import java.util.PriorityQueue;

/** Actions that are due at points of virtual time; those of the same time run in the order in which they were added. */
final class EventSchedule {

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long lastNumber;

    private record Event(long atMillis, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    void at(long millis, Runnable action) {
        lastNumber++;
        events.add(new Event(millis, lastNumber, action));
    }

    /** Runs the actions that are due, including those that they add. */
    void run(long nowMillis) {
        while (!events.isEmpty() && events.peek().atMillis() <= nowMillis) {
            events.poll().action().run();
        }
    }
}
