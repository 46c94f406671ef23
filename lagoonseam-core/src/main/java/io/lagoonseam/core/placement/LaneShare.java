package io.lagoonseam.core.placement;

import io.lagoonseam.core.forward.Lane;

/**
 * Determines which share of a service's workers is reserved for sensitive requests, from the work that arrives in each
 * lane. Answers bursts of long prompts: while they are most of the work, the sensitive lane keeps what it needs and the
 * rest reads prompts. Not thread-safe.
 */
final class LaneShare {

    /** The share before enough requests have been observed. */
    private static final double INITIAL_SHARE = 0.25;

    private static final double MIN_SHARE = 0.15;
    private static final double MAX_SHARE = 0.4;

    /** What each sensitive request that was refused lately adds to the share, and the most that all of them add. */
    private static final double SHARE_PER_REFUSAL = 0.02;

    private static final double MAX_SHARE_OF_REFUSALS = 0.2;

    /** The reserve of the sensitive lane, which has to meet its objectives while its load varies. */
    private static final double SENSITIVE_RESERVE = 1.6;

    /** What a request costs besides reading its prompt, as a number of prompt tokens. */
    private static final double REQUEST_TOKENS = 1_000;

    /** The share of the work below which the sensitive lane gets no workers of its own. */
    private static final double NEGLIGIBLE_SHARE = 0.002;

    /** The time after which the weight of an observation has decayed to 1/e, in milliseconds. */
    private static final double DECAY_MILLIS = 1_500;

    /** The weight of observations from which the share follows them. */
    private static final double MIN_OBSERVATIONS = 30;

    private double sensitiveTokens;
    private double tolerantTokens;
    private double observations;
    private double sensitiveRefusals;
    private long lastMillis;

    /** Records the arrival of a request that has to read the given number of prompt tokens. */
    void observe(Lane lane, long unreadTokens, long nowMillis) {
        decay(nowMillis);
        observations++;
        if (lane == Lane.SENSITIVE) {
            sensitiveTokens += unreadTokens + REQUEST_TOKENS;
        } else {
            tolerantTokens += unreadTokens + REQUEST_TOKENS;
        }
    }

    /** Records that a request could not begin in time. */
    void observeRefusal(Lane lane, long nowMillis) {
        decay(nowMillis);
        if (lane == Lane.SENSITIVE) {
            sensitiveRefusals++;
        }
    }

    private void decay(long nowMillis) {
        double decay = Math.exp(-Math.max(0, nowMillis - lastMillis) / DECAY_MILLIS);
        lastMillis = Math.max(lastMillis, nowMillis);
        sensitiveTokens *= decay;
        tolerantTokens *= decay;
        observations *= decay;
        sensitiveRefusals *= decay;
    }

    /** Returns the share of the workers that is reserved for sensitive requests. */
    double sensitiveShare() {
        if (observations < MIN_OBSERVATIONS) {
            return INITIAL_SHARE;
        }
        if (sensitiveTokens < NEGLIGIBLE_SHARE * tolerantTokens) {
            return 0;
        }
        double needed = SENSITIVE_RESERVE * sensitiveTokens / (sensitiveTokens + tolerantTokens);
        double refused = Math.min(MAX_SHARE_OF_REFUSALS, SHARE_PER_REFUSAL * sensitiveRefusals);
        return Math.max(MIN_SHARE, Math.min(MAX_SHARE, needed)) + refused;
    }
}
