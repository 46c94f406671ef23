package io.lagoonseam.entry.configuration;

/**
 * One file of a file set.
 *
 * @param name its name
 * @param text its content
 */
public record SourceFile(String name, String text) {}
