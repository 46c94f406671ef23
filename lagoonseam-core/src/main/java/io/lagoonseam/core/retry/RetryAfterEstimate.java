package io.lagoonseam.core.retry;

import io.lagoonseam.core.time.TimeSource;

/** When a refused caller should come back, from the measured pace of answers. Not thread-safe. */
public final class RetryAfterEstimate {

    private static final double DECAY_MILLIS = 5_000;
    private static final long MIN_MILLIS = 100;
    private static final long MAX_MILLIS = 30_000;
    private static final double OUTAGE_SHARE = 0.5;

    private final TimeSource time;
    private double recentAnswers;
    private long decayedAtMillis;
    private long lastAnswerMillis;

    /**
     * Creates an estimate that has seen no answer.
     *
     * @param time the clock
     */
    public RetryAfterEstimate(TimeSource time) {
        this.time = time;
        this.decayedAtMillis = time.monotonicMillis();
        this.lastAnswerMillis = decayedAtMillis;
    }

    /** Counts an answer. */
    public void answered() {
        decay();
        recentAnswers++;
        lastAnswerMillis = decayedAtMillis;
    }

    /**
     * Returns the delay.
     *
     * @param waiting the requests that are queued
     * @return milliseconds: the time to work the queue off, or a share of the outage while nothing is answered
     */
    public long retryAfterMillis(int waiting) {
        decay();
        double answersPerMilli = recentAnswers / DECAY_MILLIS;
        double queueMillis = answersPerMilli == 0 ? MAX_MILLIS : (waiting + 1) / answersPerMilli;
        double outageMillis = OUTAGE_SHARE * (decayedAtMillis - lastAnswerMillis);
        double millis = recentAnswers < 1 ? outageMillis : Math.max(queueMillis, outageMillis);
        return Math.round(Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, millis)));
    }

    private void decay() {
        long nowMillis = time.monotonicMillis();
        recentAnswers *= Math.exp((decayedAtMillis - nowMillis) / DECAY_MILLIS);
        decayedAtMillis = nowMillis;
    }
}
