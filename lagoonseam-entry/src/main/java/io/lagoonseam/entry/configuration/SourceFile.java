package io.lagoonseam.entry.configuration;

/**
 * A named text: a file of a file set as an operator wrote it, or a part of a stored generation, into which
 * {@link PartSplitter} splits the files.
 *
 * @param name its name
 * @param text its content
 */
public record SourceFile(String name, String text) {}
