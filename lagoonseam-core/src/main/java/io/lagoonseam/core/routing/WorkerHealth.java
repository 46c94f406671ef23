package io.lagoonseam.core.routing;

import java.util.random.RandomGenerator;

/**
 * Outlier detection for one worker, based on its mean time between tokens relative to its peers and on its consecutive
 * failures. An ejected worker receives single half-open probes until it has recovered. Not thread-safe.
 */
public final class WorkerHealth {

    /** Weight of a new sample in the moving average of the time between tokens. */
    private static final double PACE_SAMPLE_WEIGHT = 0.33;

    private static final int MIN_PACE_SAMPLES = 2;

    /** Ratio to the median time between tokens below which a worker counts as equally fast. */
    private static final double MIN_SLOW_FACTOR = 1.5;

    /** Ratio to the median time between tokens from which a worker is ejected as a straggler. */
    private static final double STRAGGLER_SLOW_FACTOR = 2.5;

    private static final int EJECTION_FAILURES = 3;
    private static final long EJECTION_BACKOFF_BASE_MILLIS = 500;
    private static final long EJECTION_BACKOFF_MAX_MILLIS = 15_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 5;
    private static final long PROBE_INTERVAL_MILLIS = 1_000;

    /** Interval after which an urgent request may serve as the probe because no other request has. */
    private static final long URGENT_PROBE_INTERVAL_MILLIS = 10_000;

    private double paceMillis;
    private int paceSamples;
    private int consecutiveFailures;
    private int ejections;
    private boolean failing;
    private long ejectedUntilMillis;
    private long lastProbeMillis;

    /**
     * Records the pace of one stream.
     *
     * @param gapMillis the mean time in milliseconds between consecutive tokens over a section of the stream
     */
    public void observePace(double gapMillis) {
        paceMillis = paceSamples == 0 ? gapMillis : paceMillis + PACE_SAMPLE_WEIGHT * (gapMillis - paceMillis);
        paceSamples++;
    }

    /** Records a successful attempt, which resets the failure count and the ejection backoff. */
    public void observeSuccess() {
        consecutiveFailures = 0;
        failing = false;
        ejections = 0;
    }

    /**
     * Records an attempt that failed because of the worker. Once the consecutive failures, weighted by severity, reach
     * three, this and each further failure starts an ejection backoff. It starts at 500 ms, doubles up to 15 s, and is
     * shortened by up to a half at random.
     *
     * @param severity the number of failures that this one counts for
     * @param nowMillis the monotonic time in milliseconds
     * @param random the source of jitter
     */
    public void observeFailure(int severity, long nowMillis, RandomGenerator random) {
        consecutiveFailures += severity;
        if (consecutiveFailures < EJECTION_FAILURES) {
            return;
        }
        failing = true;
        long maxBackoffMillis = Math.min(
                EJECTION_BACKOFF_MAX_MILLIS,
                EJECTION_BACKOFF_BASE_MILLIS << Math.min(ejections, MAX_BACKOFF_DOUBLINGS));
        ejectedUntilMillis = nowMillis + maxBackoffMillis / 2 + random.nextLong(maxBackoffMillis / 2 + 1);
        ejections++;
    }

    /**
     * Returns the moving average of the time between tokens.
     *
     * @return the time in milliseconds, or 0 with fewer than two samples
     */
    public double paceMillis() {
        return paceSamples < MIN_PACE_SAMPLES ? 0 : paceMillis;
    }

    /**
     * Returns how much slower the worker is than its peers.
     *
     * @param medianPaceMillis the median time between tokens of all workers in milliseconds, or 0 if it is not known
     * @return the ratio to the median, or 1 if it is below 1.5 or not known
     */
    public double slowFactor(double medianPaceMillis) {
        if (paceSamples < MIN_PACE_SAMPLES || medianPaceMillis <= 0) {
            return 1;
        }
        double factor = paceMillis / medianPaceMillis;
        return factor < MIN_SLOW_FACTOR ? 1 : factor;
    }

    /**
     * Returns whether the worker is an outlier that should be ejected.
     *
     * @param medianPaceMillis the median time between tokens of all workers in milliseconds, or 0 if it is not known
     * @return true if the worker is failing or is a straggler
     */
    public boolean isOutlier(double medianPaceMillis) {
        return failing || slowFactor(medianPaceMillis) >= STRAGGLER_SLOW_FACTOR;
    }

    /**
     * Returns the outlier score. If not all outliers may be ejected, those with the highest scores are.
     *
     * @param medianPaceMillis the median time between tokens of all workers in milliseconds, or 0 if it is not known
     * @return the number of consecutive failures plus the slow factor
     */
    double outlierScore(double medianPaceMillis) {
        return consecutiveFailures + slowFactor(medianPaceMillis);
    }

    /**
     * Returns whether a request may be sent to the ejected worker as a half-open probe. Probes are due 1 s after the
     * last one once the ejection backoff has expired; urgent requests serve as probes only 10 s after the last one.
     *
     * @param urgent whether the request is urgent
     * @param nowMillis the monotonic time in milliseconds
     * @return true if a probe is due
     */
    public boolean probeDue(boolean urgent, long nowMillis) {
        long intervalMillis = urgent ? URGENT_PROBE_INTERVAL_MILLIS : PROBE_INTERVAL_MILLIS;
        return nowMillis >= ejectedUntilMillis && nowMillis - lastProbeMillis >= intervalMillis;
    }

    /**
     * Records that a half-open probe was sent.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    public void recordProbe(long nowMillis) {
        lastProbeMillis = nowMillis;
    }
}
