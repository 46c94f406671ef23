package io.lagoonseam.core.retry;

import java.util.random.RandomGenerator;

/** Computes delays for exponential backoff with full jitter. */
public final class JitteredBackoff {

    private static final int MAX_DOUBLINGS = 20;

    private final long baseMillis;
    private final long capMillis;
    private final RandomGenerator random;

    /**
     * Creates a backoff.
     *
     * @param baseMillis the maximum of the first delay, in ms
     * @param capMillis the maximum of all delays, in ms
     * @param random the source of jitter
     */
    public JitteredBackoff(long baseMillis, long capMillis, RandomGenerator random) {
        this.baseMillis = baseMillis;
        this.capMillis = capMillis;
        this.random = random;
    }

    /**
     * Returns a random delay before the next attempt.
     *
     * @param attempt the number of failures so far, from 0
     * @return the delay in ms, from 0 to the cap
     */
    public long delayMillis(int attempt) {
        long ceiling = Math.min(capMillis, baseMillis << Math.min(attempt, MAX_DOUBLINGS));
        return random.nextLong(ceiling + 1);
    }
}
