package io.lagoonseam.core.ratelimit;

import java.util.concurrent.TimeUnit;

/** A token bucket for permits that begins empty, so that a new issuer adds no burst to what its predecessor issued. */
final class PermitBucket {

    /** The depth as a time at the full rate, in seconds; at least one permit. */
    private static final double DEPTH_SECONDS = 0.1;

    private double level;
    private long refilledMillis;

    PermitBucket(long nowMillis) {
        this.refilledMillis = nowMillis;
    }

    boolean tryTake(double perSecond, long nowMillis) {
        double seconds = (double) (nowMillis - refilledMillis) / TimeUnit.SECONDS.toMillis(1);
        level = Math.min(Math.max(1, DEPTH_SECONDS * perSecond), level + perSecond * seconds);
        refilledMillis = nowMillis;
        if (level < 1) {
            return false;
        }
        level--;
        return true;
    }
}
