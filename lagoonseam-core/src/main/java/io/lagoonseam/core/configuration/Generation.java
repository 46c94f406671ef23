package io.lagoonseam.core.configuration;

/**
 * An accepted file set with its generation number.
 *
 * @param number the number of the generation, which increases with each accepted file set
 * @param author the operator who applied the file set
 * @param reason the reason for the change
 * @param appliedAtMillis the time of its acceptance, in milliseconds since the epoch
 * @param fileSet the accepted file set
 */
public record Generation(long number, String author, String reason, long appliedAtMillis, FileSet fileSet) {}
