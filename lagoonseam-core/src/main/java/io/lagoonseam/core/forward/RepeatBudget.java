package io.lagoonseam.core.forward;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the sends of a service beyond the first of each request, so that repeats cannot multiply a failure. The budget
 * is one for all nodes: in each window a share of the requests and a fixed number. A node spends the share of its own
 * requests and its part of the fixed number.
 */
public final class RepeatBudget {

    /**
     * The part of the budget that is spent, so that clocks that differ and requests that leave a window do not overrun
     * it.
     */
    private static final double SPENT_PART = 0.8;

    private double ratio;
    private long windowMillis;
    private double fixedRepeats;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> repeats = new ArrayDeque<>();

    /**
     * Creates a budget of which nothing is spent.
     *
     * @param ratio repeats for each request of the window
     * @param windowMillis the length of the window
     * @param fixedRepeats repeats in each window besides, for all nodes together
     */
    public RepeatBudget(double ratio, long windowMillis, double fixedRepeats) {
        this.ratio = ratio;
        this.windowMillis = windowMillis;
        this.fixedRepeats = fixedRepeats;
    }

    /**
     * Sets other limits; what was spent stays spent.
     *
     * @param newRatio repeats for each request of the window
     * @param newWindowMillis the length of the window
     * @param newFixedRepeats repeats in each window besides, for all nodes together
     */
    public void limits(double newRatio, long newWindowMillis, double newFixedRepeats) {
        this.ratio = newRatio;
        this.windowMillis = newWindowMillis;
        this.fixedRepeats = newFixedRepeats;
    }

    /**
     * Counts a caller's request.
     *
     * @param nowMillis the time
     */
    public void request(long nowMillis) {
        requests.addLast(nowMillis);
        forget(nowMillis);
    }

    /**
     * Takes one repeat.
     *
     * @param nodes the nodes that share the budget, this one included
     * @param nowMillis the time
     * @return whether it may be sent
     */
    public boolean tryTake(int nodes, long nowMillis) {
        forget(nowMillis);
        double allowed = SPENT_PART * (ratio * requests.size() + fixedRepeats / Math.max(1, nodes));
        if (repeats.size() + 1 > allowed) {
            return false;
        }
        repeats.addLast(nowMillis);
        return true;
    }

    private void forget(long nowMillis) {
        while (!requests.isEmpty() && requests.peekFirst() < nowMillis - windowMillis) {
            requests.removeFirst();
        }
        while (!repeats.isEmpty() && repeats.peekFirst() < nowMillis - windowMillis) {
            repeats.removeFirst();
        }
    }
}
