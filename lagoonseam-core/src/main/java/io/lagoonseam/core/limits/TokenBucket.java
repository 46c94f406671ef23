package io.lagoonseam.core.limits;

/** A rate with room for one second's worth at once. May be overdrawn by what is charged afterwards. */
final class TokenBucket {

    private static final double MILLIS_PER_SECOND = 1_000;

    private double ratePerSecond;
    private double level;
    private long filledAtMillis;

    TokenBucket(double ratePerSecond, long nowMillis) {
        this.ratePerSecond = ratePerSecond;
        this.level = depth();
        this.filledAtMillis = nowMillis;
    }

    private double depth() {
        return Math.max(1, ratePerSecond);
    }

    void setRate(double newRatePerSecond, long nowMillis) {
        fill(nowMillis);
        ratePerSecond = newRatePerSecond;
        level = Math.min(level, depth());
    }

    private void fill(long nowMillis) {
        level = Math.min(depth(), level + ratePerSecond * (nowMillis - filledAtMillis) / MILLIS_PER_SECOND);
        filledAtMillis = nowMillis;
    }

    /** Returns the time until an amount is there, 0 if it is there now. */
    long millisUntil(double amount, long nowMillis) {
        fill(nowMillis);
        if (level >= amount) {
            return 0;
        }
        double rate = Math.max(ratePerSecond, 1 / MILLIS_PER_SECOND);
        return (long) Math.ceil((amount - level) / rate * MILLIS_PER_SECOND);
    }

    void charge(double amount, long nowMillis) {
        fill(nowMillis);
        level -= amount;
    }
}
