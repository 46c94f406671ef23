package io.lagoonseam.core.configuration;

/**
 * Retention rule for the recorded answers of non-idempotent operations.
 *
 * @param name the name of the rule
 * @param answersMillis the time for which duplicate requests receive the recorded answer, in milliseconds
 * @param answerMaxBytes the size of the largest answer body that is recorded, in bytes
 */
public record Retention(String name, long answersMillis, int answerMaxBytes) {}
