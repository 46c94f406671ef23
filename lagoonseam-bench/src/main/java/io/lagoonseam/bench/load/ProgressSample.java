package io.lagoonseam.bench.load;

/**
 * The totals at one moment of a run.
 *
 * @param elapsedMillis since the start
 * @param requests sent so far
 * @param ended answered or refused so far
 * @param tokens of whole answers so far
 */
public record ProgressSample(long elapsedMillis, long requests, long ended, long tokens) {}
