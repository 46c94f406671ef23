package io.lagoonseam.core.forward;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries of a service, so that they cannot amplify a failure. All nodes share one budget: in each window, a
 * share of the number of requests plus a fixed number of retries, the slack. Each node may use the share of its own
 * requests and an equal part of the slack.
 */
public final class ServiceRetryBudget {

    /**
     * The share of the budget that is used. The rest is a margin for clock differences between nodes and for requests
     * that leave the window.
     */
    private static final double USABLE_SHARE = 0.8;

    private double ratio;
    private long windowMillis;
    private double retrySlack;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();

    /**
     * Creates an unused budget.
     *
     * @param ratio the retries per request in the window
     * @param windowMillis the length of the window, in milliseconds
     * @param retrySlack the additional retries in each window, over all nodes
     */
    public ServiceRetryBudget(double ratio, long windowMillis, double retrySlack) {
        this.ratio = ratio;
        this.windowMillis = windowMillis;
        this.retrySlack = retrySlack;
    }

    /**
     * Changes the limits. Retries already taken still count.
     *
     * @param newRatio the retries per request in the window
     * @param newWindowMillis the length of the window, in milliseconds
     * @param newRetrySlack the additional retries in each window, over all nodes
     */
    public void setLimits(double newRatio, long newWindowMillis, double newRetrySlack) {
        this.ratio = newRatio;
        this.windowMillis = newWindowMillis;
        this.retrySlack = newRetrySlack;
    }

    /**
     * Counts a caller's request.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void recordRequest(long nowMillis) {
        requests.addLast(nowMillis);
        removeExpired(nowMillis);
    }

    /** Takes back the latest request that was counted and is not too old to count: another node counts it. */
    public void withdrawRequest() {
        requests.pollLast();
    }

    /**
     * Takes one retry from the budget.
     *
     * @param nodes the number of nodes that share the budget, including this one
     * @param nowMillis the current time, in milliseconds
     * @return whether the retry may be sent
     */
    public boolean tryAcquire(int nodes, long nowMillis) {
        removeExpired(nowMillis);
        double allowed = USABLE_SHARE * (ratio * requests.size() + retrySlack / Math.max(1, nodes));
        if (retries.size() + 1 > allowed) {
            return false;
        }
        retries.addLast(nowMillis);
        return true;
    }

    private void removeExpired(long nowMillis) {
        while (!requests.isEmpty() && requests.peekFirst() < nowMillis - windowMillis) {
            requests.removeFirst();
        }
        while (!retries.isEmpty() && retries.peekFirst() < nowMillis - windowMillis) {
            retries.removeFirst();
        }
    }
}
