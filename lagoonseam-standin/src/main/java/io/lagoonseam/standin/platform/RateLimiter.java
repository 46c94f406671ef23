package io.lagoonseam.standin.platform;

/** Limits the number of calls in fixed windows of 1 s. */
final class RateLimiter {

    private static final long WINDOW_MILLIS = 1_000;

    private long windowStartMillis;
    private long callsInWindow;
    private long limitPerSecond;

    RateLimiter(long limitPerSecond) {
        this.limitPerSecond = limitPerSecond;
    }

    void limitPerSecond(long value) {
        limitPerSecond = value;
    }

    boolean tryAcquire(long nowMillis) {
        if (nowMillis - windowStartMillis >= WINDOW_MILLIS) {
            windowStartMillis = nowMillis;
            callsInWindow = 0;
        }
        callsInWindow++;
        return callsInWindow <= limitPerSecond;
    }
}
