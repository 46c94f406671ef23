package io.lagoonseam.core.retry;

import java.util.random.RandomGenerator;

/** Exponential backoff with full jitter. */
public final class JitteredBackoff {

    private static final int MAX_DOUBLINGS = 20;

    private final long baseMillis;
    private final long capMillis;
    private final RandomGenerator random;

    /**
     * Creates a backoff.
     *
     * @param baseMillis the largest first delay
     * @param capMillis the largest delay of all
     * @param random the source of jitter
     */
    public JitteredBackoff(long baseMillis, long capMillis, RandomGenerator random) {
        this.baseMillis = baseMillis;
        this.capMillis = capMillis;
        this.random = random;
    }

    /**
     * Returns the delay before an attempt.
     *
     * @param attempt the number of failures so far, from 0
     * @return milliseconds from 0 to the cap
     */
    public long delayMillis(int attempt) {
        long ceiling = Math.min(capMillis, baseMillis << Math.min(attempt, MAX_DOUBLINGS));
        return random.nextLong(ceiling + 1);
    }
}
