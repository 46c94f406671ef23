package io.lagoonseam.bench.experiment.policy;

/**
 * What one class got under one policy.
 *
 * @param requests the requests sent
 * @param answered the requests with a whole answer
 * @param attainment the share of requests that met their targets
 * @param attainmentOfAnswered the share of answered requests that met their targets
 * @param firstTokenP95Millis the time to the first token for 95 in 100 answers
 * @param betweenTokensP95Millis the mean time between tokens for 95 in 100 answers
 * @param longestWaitMillis the longest time in a queue among requests that were started
 * @param longestWaitLimitMillis the longest wait that the file set states
 */
public record ClassResult(
        long requests,
        long answered,
        double attainment,
        double attainmentOfAnswered,
        long firstTokenP95Millis,
        double betweenTokensP95Millis,
        long longestWaitMillis,
        long longestWaitLimitMillis) {}
