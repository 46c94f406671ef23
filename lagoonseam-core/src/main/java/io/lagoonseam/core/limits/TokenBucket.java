package io.lagoonseam.core.limits;

/**
 * A token bucket with a depth of one second's rate, at least 1. Its level may become negative, since amounts that are
 * known only afterwards are charged in full.
 */
final class TokenBucket {

    private static final double MILLIS_PER_SECOND = 1_000;

    private double ratePerSecond;
    private double level;
    private long lastRefillMillis;

    TokenBucket(double ratePerSecond, long nowMillis) {
        this.ratePerSecond = ratePerSecond;
        this.level = depth();
        this.lastRefillMillis = nowMillis;
    }

    private double depth() {
        return Math.max(1, ratePerSecond);
    }

    void setRate(double newRatePerSecond, long nowMillis) {
        refill(nowMillis);
        ratePerSecond = newRatePerSecond;
        level = Math.min(level, depth());
    }

    private void refill(long nowMillis) {
        level = Math.min(depth(), level + ratePerSecond * (nowMillis - lastRefillMillis) / MILLIS_PER_SECOND);
        lastRefillMillis = nowMillis;
    }

    /** Returns the time in ms until an amount is available, 0 if it is available now. */
    long millisUntil(double amount, long nowMillis) {
        refill(nowMillis);
        if (level >= amount) {
            return 0;
        }
        double rate = Math.max(ratePerSecond, 1 / MILLIS_PER_SECOND);
        return (long) Math.ceil((amount - level) / rate * MILLIS_PER_SECOND);
    }

    void charge(double amount, long nowMillis) {
        refill(nowMillis);
        level -= amount;
    }
}
