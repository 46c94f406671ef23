package io.lagoonseam.core.configuration;

/**
 * One fault of a settings file or a file set.
 *
 * @param file the file's name
 * @param line the line, from 1, or 0 where none is known
 * @param key the key or its path
 * @param message what is wrong and what would be right
 */
public record ConfigurationError(String file, int line, String key, String message) {

    @Override
    public String toString() {
        return file + ":" + line + ": " + key + ": " + message;
    }
}
