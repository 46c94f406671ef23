package io.lagoonseam.bench.load;

/**
 * The cumulative totals of a load run at one point in time.
 *
 * @param elapsedMillis the time since the start of the run, in milliseconds
 * @param requests the number of requests sent
 * @param ended the number of requests that have ended, answered or not
 * @param tokens the number of tokens in complete answers
 */
public record ProgressSample(long elapsedMillis, long requests, long ended, long tokens) {}
