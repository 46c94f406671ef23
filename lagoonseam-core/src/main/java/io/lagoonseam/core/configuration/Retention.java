package io.lagoonseam.core.configuration;

/**
 * How long answers of non-idempotent operations are kept.
 *
 * @param name its name
 * @param answersMillis the time for which a duplicate gets the recorded answer
 * @param answerMaxBytes the largest answer that is kept whole
 */
public record Retention(String name, long answersMillis, int answerMaxBytes) {}
