package io.lagoonseam.core.configuration;

/**
 * A file set that was accepted, with its place in the sequence.
 *
 * @param number the generation, which only rises
 * @param author who applied it
 * @param reason why
 * @param appliedAtMillis when, in milliseconds since the epoch
 * @param fileSet its content
 */
public record Generation(long number, String author, String reason, long appliedAtMillis, FileSet fileSet) {}
