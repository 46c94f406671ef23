package io.lagoonseam.core.routing;

import java.util.random.RandomGenerator;

/**
 * How well one worker serves this node: its pace between tokens beside its peers', and its failures in a row. A worker
 * that is set aside is probed by single requests until it does well again. Not thread-safe.
 */
public final class WorkerHealth {

    private static final double PACE_WEIGHT = 0.25;
    private static final int MIN_PACE_SAMPLES = 2;
    private static final double NOTABLE_SLOWNESS = 1.5;
    private static final double STRAGGLER_SLOWNESS = 2.5;
    private static final int EJECTION_FAILURES = 3;
    private static final long EJECTION_BASE_MILLIS = 500;
    private static final long EJECTION_MAX_MILLIS = 15_000;
    private static final int MAX_DOUBLINGS = 5;
    private static final long PROBE_INTERVAL_MILLIS = 1_000;
    private static final long URGENT_PROBE_INTERVAL_MILLIS = 10_000;

    private double paceMillis;
    private int paceSamples;
    private int failuresInARow;
    private int ejections;
    private boolean failing;
    private long asideUntilMillis;
    private long probedAtMillis;

    /**
     * Learns from the pace of one stream.
     *
     * @param gapMillis the mean time between some tokens
     */
    public void observePace(double gapMillis) {
        paceMillis = paceSamples == 0 ? gapMillis : paceMillis + PACE_WEIGHT * (gapMillis - paceMillis);
        paceSamples++;
    }

    /** Learns that an attempt brought what it should. */
    public void observeSuccess() {
        failuresInARow = 0;
        failing = false;
        ejections = 0;
    }

    /**
     * Learns that an attempt failed through the worker's fault.
     *
     * @param severity failures that this one counts for
     * @param nowMillis the monotonic time
     * @param random the source of jitter
     */
    public void observeFailure(int severity, long nowMillis, RandomGenerator random) {
        failuresInARow += severity;
        if (failuresInARow < EJECTION_FAILURES) {
            return;
        }
        failing = true;
        long ceilingMillis = Math.min(EJECTION_MAX_MILLIS, EJECTION_BASE_MILLIS << Math.min(ejections, MAX_DOUBLINGS));
        asideUntilMillis = nowMillis + ceilingMillis / 2 + random.nextLong(ceilingMillis / 2 + 1);
        ejections++;
    }

    /**
     * Returns the pace.
     *
     * @return the mean time between tokens in milliseconds, or 0 if it is not known
     */
    public double paceMillis() {
        return paceSamples < MIN_PACE_SAMPLES ? 0 : paceMillis;
    }

    /**
     * Returns how much slower the worker is than its peers.
     *
     * @param peersPaceMillis the median pace of all workers, or 0 if it is not known
     * @return 1 unless it is notably slower
     */
    public double slowFactor(double peersPaceMillis) {
        if (paceSamples < MIN_PACE_SAMPLES || peersPaceMillis <= 0) {
            return 1;
        }
        double factor = paceMillis / peersPaceMillis;
        return factor < NOTABLE_SLOWNESS ? 1 : factor;
    }

    /**
     * Returns whether the worker should be set aside.
     *
     * @param peersPaceMillis the median pace of all workers, or 0 if it is not known
     * @return true for a failing worker and for a straggler
     */
    public boolean unfit(double peersPaceMillis) {
        return failing || slowFactor(peersPaceMillis) >= STRAGGLER_SLOWNESS;
    }

    /**
     * Returns how unfit the worker is, to choose among unfit ones.
     *
     * @param peersPaceMillis the median pace of all workers, or 0 if it is not known
     * @return larger for worse
     */
    double unfitness(double peersPaceMillis) {
        return failuresInARow + slowFactor(peersPaceMillis);
    }

    /**
     * Returns whether a worker that was set aside may be probed by one request.
     *
     * @param urgent whether the request is urgent; those probe only when nothing else has for long
     * @param nowMillis the monotonic time
     * @return whether a probe is due
     */
    public boolean probeDue(boolean urgent, long nowMillis) {
        long intervalMillis = urgent ? URGENT_PROBE_INTERVAL_MILLIS : PROBE_INTERVAL_MILLIS;
        return nowMillis >= asideUntilMillis && nowMillis - probedAtMillis >= intervalMillis;
    }

    /**
     * Notes that a probe was sent.
     *
     * @param nowMillis the monotonic time
     */
    public void probed(long nowMillis) {
        probedAtMillis = nowMillis;
    }
}
