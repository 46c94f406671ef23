package io.lagoonseam.bench.experiment.policy;

/**
 * The measurements of one request class under one policy.
 *
 * @param requests the number of requests sent
 * @param answered the number of requests with a complete answer
 * @param attainment the share of requests sent that met their targets, from 0 to 1
 * @param attainmentOfAnswered the share of answered requests that met their targets, from 0 to 1
 * @param firstTokenP95Millis the 95th percentile of the time to the first token, in milliseconds
 * @param betweenTokensP95Millis the 95th percentile over answers of their mean time between tokens, in milliseconds
 * @param longestWaitMillis the longest queue wait of the requests that were started, in milliseconds
 * @param longestWaitLimitMillis the longest wait that the file set allows the class, in milliseconds
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
