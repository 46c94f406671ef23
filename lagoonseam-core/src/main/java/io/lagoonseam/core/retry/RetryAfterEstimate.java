package io.lagoonseam.core.retry;

import io.lagoonseam.core.time.TimeSource;

/** Estimates the delay after which a refused caller should retry, from the recent rate of answers. Not thread-safe. */
public final class RetryAfterEstimate {

    private static final double DECAY_MILLIS = 5_000;
    private static final long MIN_MILLIS = 100;
    private static final long MAX_MILLIS = 30_000;
    /** The delay as a share of the time since the last answer. */
    private static final double ANSWER_GAP_FACTOR = 0.5;

    private final TimeSource time;
    private double recentAnswers;
    private long decayedAtMillis;
    private long lastAnswerMillis;

    /**
     * Creates an estimate without recorded answers.
     *
     * @param time the clock
     */
    public RetryAfterEstimate(TimeSource time) {
        this.time = time;
        this.decayedAtMillis = time.monotonicMillis();
        this.lastAnswerMillis = decayedAtMillis;
    }

    /** Records an answer at the current time. */
    public void answered() {
        decay();
        recentAnswers++;
        lastAnswerMillis = decayedAtMillis;
    }

    /**
     * Returns the delay after which a refused caller should retry.
     *
     * @param waiting the number of queued requests
     * @return the delay in ms, from 100 to 30,000: the time to drain the queue or half of the time since the last
     *     answer, whichever is longer; only the latter if the decayed number of recent answers is below 1
     */
    public long retryAfterMillis(int waiting) {
        decay();
        double answersPerMilli = recentAnswers / DECAY_MILLIS;
        double queueMillis = answersPerMilli == 0 ? MAX_MILLIS : (waiting + 1) / answersPerMilli;
        double answerGapDelayMillis = ANSWER_GAP_FACTOR * (decayedAtMillis - lastAnswerMillis);
        double millis = recentAnswers < 1 ? answerGapDelayMillis : Math.max(queueMillis, answerGapDelayMillis);
        return Math.round(Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, millis)));
    }

    private void decay() {
        long nowMillis = time.monotonicMillis();
        recentAnswers *= Math.exp((decayedAtMillis - nowMillis) / DECAY_MILLIS);
        decayedAtMillis = nowMillis;
    }
}
