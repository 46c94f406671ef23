package io.lagoonseam.entry.configuration;

/**
 * A file of a file set, or a part of a stored generation.
 *
 * @param name its name
 * @param text its content
 */
public record SourceFile(String name, String text) {}
