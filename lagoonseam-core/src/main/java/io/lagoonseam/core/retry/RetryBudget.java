package io.lagoonseam.core.retry;

import io.lagoonseam.core.lock.LockRank;
import io.lagoonseam.core.lock.RankedLock;
import io.lagoonseam.core.time.SystemTimeSource;
import io.lagoonseam.core.time.TimeSource;

/**
 * Allows extra attempts (retries, hedges, resumes and continuations) as a share of recent successes and a small share
 * of recent first attempts, so that they cannot multiply a failure. All sums decay.
 */
public final class RetryBudget {

    private static final double DECAY_MILLIS = 10_000;
    private static final double RESERVE_ATTEMPTS = 3;
    private static final double FIRST_ATTEMPT_SHARE = 0.02;
    private static final double HEDGE_PART = 0.4;

    private final RankedLock lock = new RankedLock(LockRank.RETRY);
    private final TimeSource time;
    private final double share;
    private double recentFirstAttempts;
    private double recentSuccesses;
    private double recentExtraAttempts;
    private long decayedAtMillis;

    /**
     * Creates a budget on the machine's clock.
     *
     * @param share extra attempts allowed for each recent success, from 0 to 1
     */
    public RetryBudget(double share) {
        this(share, new SystemTimeSource());
    }

    /**
     * Creates a budget.
     *
     * @param share extra attempts allowed for each recent success, from 0 to 1
     * @param time the clock
     */
    public RetryBudget(double share, TimeSource time) {
        if (share < 0 || share > 1) {
            throw new IllegalArgumentException("share is not from 0 to 1: " + share);
        }
        this.share = share;
        this.time = time;
        this.decayedAtMillis = time.monotonicMillis();
    }

    /** Counts a first attempt. */
    public void recordFirstAttempt() {
        lock.run(() -> {
            decay();
            recentFirstAttempts++;
        });
    }

    /** Counts a whole answer. */
    public void recordSuccess() {
        lock.run(() -> {
            decay();
            recentSuccesses++;
        });
    }

    /**
     * Takes one extra attempt from the budget, for a request that would otherwise fail.
     *
     * @return whether the attempt is allowed
     */
    public boolean tryAcquire() {
        return tryAcquire(1);
    }

    /**
     * Takes one extra attempt for a request that may yet succeed, which leaves a part of the budget to those that would
     * fail.
     *
     * @return whether the attempt is allowed
     */
    public boolean tryAcquireHedge() {
        return tryAcquire(HEDGE_PART);
    }

    private boolean tryAcquire(double part) {
        return lock.call(() -> {
            decay();
            if (recentExtraAttempts + 1 > part * allowance()) {
                return false;
            }
            recentExtraAttempts++;
            return true;
        });
    }

    private double allowance() {
        return RESERVE_ATTEMPTS + share * recentSuccesses + FIRST_ATTEMPT_SHARE * recentFirstAttempts;
    }

    private void decay() {
        long nowMillis = time.monotonicMillis();
        double factor = Math.exp((decayedAtMillis - nowMillis) / DECAY_MILLIS);
        recentFirstAttempts *= factor;
        recentSuccesses *= factor;
        recentExtraAttempts *= factor;
        decayedAtMillis = nowMillis;
    }
}
