package io.lagoonseam.core.retry;

import io.lagoonseam.core.configuration.RequestClass;
import io.lagoonseam.core.configuration.Tier;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;

/**
 * When an urgent idempotent request without a first token is sent to a second worker: after most requests have had
 * theirs, tracked by a quantile that steps up and down.
 */
public final class HedgeDelay {

    private static final double QUANTILE = 0.97;
    private static final double STEP_MILLIS = 4;
    private static final long MIN_DELAY_MILLIS = 100;

    private final AtomicLong quantileMicros = new AtomicLong(-1);

    /**
     * Learns from one request.
     *
     * @param firstTokenMillis the time from sending to the first token
     */
    public void observe(long firstTokenMillis) {
        quantileMicros.updateAndGet(micros -> step(micros, firstTokenMillis));
    }

    private static long step(long micros, long firstTokenMillis) {
        long sampleMicros = firstTokenMillis * 1_000;
        if (micros < 0) {
            return sampleMicros;
        }
        double share = sampleMicros > micros ? QUANTILE : QUANTILE - 1;
        return Math.max(0, micros + Math.round(share * STEP_MILLIS * 1_000));
    }

    /**
     * Returns when to hedge.
     *
     * @param requestClass the class of the request
     * @param firstTokenTargetMillis the target for its first token
     * @return milliseconds after sending, or empty if the request is not hedged
     */
    public OptionalLong delayMillis(RequestClass requestClass, long firstTokenTargetMillis) {
        boolean hedged = requestClass.tier() == Tier.URGENT && requestClass.idempotent();
        long micros = quantileMicros.get();
        if (!hedged || micros < 0) {
            return OptionalLong.empty();
        }
        long usualMillis = Math.max(MIN_DELAY_MILLIS, 2 * micros / 1_000);
        return OptionalLong.of(Math.min(usualMillis, Math.max(MIN_DELAY_MILLIS, firstTokenTargetMillis / 2)));
    }
}
