package io.lagoonseam.core.retry;

import io.lagoonseam.core.lock.LockRank;
import io.lagoonseam.core.lock.RankedLock;

/** Allows extra attempts as a share of recent first attempts, so that retries cannot multiply a failure. */
public final class RetryBudget {

    private static final double CAPACITY_ATTEMPTS = 20;

    private final RankedLock lock = new RankedLock(LockRank.RETRY);
    private final double share;
    private double available;

    /**
     * Creates a budget.
     *
     * @param share extra attempts allowed for each first attempt, from 0 to 1
     */
    public RetryBudget(double share) {
        if (share < 0 || share > 1) {
            throw new IllegalArgumentException("share is not from 0 to 1: " + share);
        }
        this.share = share;
        this.available = CAPACITY_ATTEMPTS * share;
    }

    /** Counts a first attempt, which earns a share of an extra one. */
    public void recordFirstAttempt() {
        lock.run(() -> available = Math.min(CAPACITY_ATTEMPTS, available + share));
    }

    /**
     * Takes one extra attempt from the budget.
     *
     * @return whether the attempt is allowed
     */
    public boolean tryAcquire() {
        return lock.call(() -> {
            if (available < 1) {
                return false;
            }
            available -= 1;
            return true;
        });
    }
}
