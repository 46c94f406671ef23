package io.lagoonseam.core.retry;

import io.lagoonseam.core.lock.LockRank;
import io.lagoonseam.core.lock.RankedLock;
import io.lagoonseam.core.time.SystemTimeSource;
import io.lagoonseam.core.time.TimeSource;

/**
 * Limits extra attempts (retries, hedges, resumes and continuations) to a share of recent successes plus a small share
 * of recent first attempts and a reserve of 3 attempts, so that they cannot amplify an overload or outage. All counts
 * decay exponentially. Thread-safe.
 */
public final class RetryBudget {

    /** Time constant of the exponential decay of all counts, in ms. */
    private static final double DECAY_MILLIS = 10_000;

    /** Extra attempts that are allowed without any recent request. */
    private static final double RESERVE_ATTEMPTS = 3;

    /** Extra attempts allowed for each recent first attempt, whether it succeeds or not. */
    private static final double FIRST_ATTEMPT_SHARE = 0.02;

    /**
     * Share of the budget that all recent extra attempts, including the new hedge, may use for the hedge to be allowed.
     */
    private static final double HEDGE_BUDGET_SHARE = 0.4;

    private final RankedLock lock = new RankedLock(LockRank.RETRY);
    private final TimeSource time;
    private final double share;
    private double recentFirstAttempts;
    private double recentSuccesses;
    private double recentExtraAttempts;
    private long decayedAtMillis;

    /**
     * Creates a budget that uses the system clock.
     *
     * @param share the number of extra attempts allowed for each recent success, from 0 to 1
     * @throws IllegalArgumentException if the share is out of range
     */
    public RetryBudget(double share) {
        this(share, new SystemTimeSource());
    }

    /**
     * Creates a budget.
     *
     * @param share the number of extra attempts allowed for each recent success, from 0 to 1
     * @param time the clock
     * @throws IllegalArgumentException if the share is out of range
     */
    public RetryBudget(double share, TimeSource time) {
        if (share < 0 || share > 1) {
            throw new IllegalArgumentException("retry budget share must be from 0 to 1 but was " + share);
        }
        this.share = share;
        this.time = time;
        this.decayedAtMillis = time.monotonicMillis();
    }

    /** Records the first attempt of a request. */
    public void recordFirstAttempt() {
        lock.run(() -> {
            decay();
            recentFirstAttempts++;
        });
    }

    /** Records a complete answer. */
    public void recordSuccess() {
        lock.run(() -> {
            decay();
            recentSuccesses++;
        });
    }

    /**
     * Tries to acquire one extra attempt for a request that would otherwise fail.
     *
     * @return whether the attempt is allowed
     */
    public boolean tryAcquire() {
        return tryAcquire(1);
    }

    /**
     * Tries to acquire one extra attempt for a request that may still succeed without it. It is allowed only while all
     * recent extra attempts use at most 0.4 of the budget, so that the rest is left to requests that would otherwise
     * fail.
     *
     * @return whether the attempt is allowed
     */
    public boolean tryAcquireHedge() {
        return tryAcquire(HEDGE_BUDGET_SHARE);
    }

    private boolean tryAcquire(double budgetShare) {
        return lock.call(() -> {
            decay();
            if (recentExtraAttempts + 1 > budgetShare * budget()) {
                return false;
            }
            recentExtraAttempts++;
            return true;
        });
    }

    private double budget() {
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
