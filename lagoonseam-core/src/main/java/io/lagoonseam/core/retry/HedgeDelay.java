package io.lagoonseam.core.retry;

import io.lagoonseam.core.configuration.RequestClass;
import io.lagoonseam.core.configuration.Tier;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Computes the delay after which an urgent idempotent request without a first token is hedged, that is, also sent to a
 * second worker. The delay is twice the 0.97 quantile of the times to the first token, at least 100 ms and at most half
 * of the objective for the first token (or 100 ms, if that is more). The quantile is estimated incrementally: each
 * observation moves it up by 3.88 ms or down by 0.12 ms. Thread-safe.
 */
public final class HedgeDelay {

    private static final double QUANTILE = 0.97;
    private static final double STEP_MILLIS = 4;
    private static final long MIN_DELAY_MILLIS = 100;

    private final AtomicLong quantileMicros = new AtomicLong(-1);

    /**
     * Updates the quantile from one request.
     *
     * @param firstTokenMillis the time in ms from sending the request to its first token
     */
    public void observe(long firstTokenMillis) {
        quantileMicros.updateAndGet(micros -> step(micros, firstTokenMillis));
    }

    private static long step(long micros, long firstTokenMillis) {
        long sampleMicros = firstTokenMillis * 1_000;
        if (micros < 0) {
            return sampleMicros;
        }
        double stepFactor = sampleMicros > micros ? QUANTILE : QUANTILE - 1;
        return Math.max(0, micros + Math.round(stepFactor * STEP_MILLIS * 1_000));
    }

    /**
     * Returns the delay before a request is hedged.
     *
     * @param requestClass the class of the request
     * @param firstTokenObjectiveMillis the objective for the time to its first token, in ms
     * @return the delay in ms after sending, or empty if the request is not hedged: it is not urgent or not idempotent,
     *     or no time to a first token has been observed
     */
    public OptionalLong delayMillis(RequestClass requestClass, long firstTokenObjectiveMillis) {
        boolean hedged = requestClass.tier() == Tier.URGENT && requestClass.idempotent();
        long micros = quantileMicros.get();
        if (!hedged || micros < 0) {
            return OptionalLong.empty();
        }
        long usualMillis = Math.max(MIN_DELAY_MILLIS, 2 * micros / 1_000);
        return OptionalLong.of(Math.min(usualMillis, Math.max(MIN_DELAY_MILLIS, firstTokenObjectiveMillis / 2)));
    }
}
