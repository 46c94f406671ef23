package io.lagoonseam.core.configuration;

/**
 * An error in a settings file or a file set.
 *
 * @param file the name of the file
 * @param line the line number, from 1, or 0 if unknown
 * @param key the key or the path of the key
 * @param message what is wrong and what is allowed
 */
public record ConfigurationError(String file, int line, String key, String message) {

    @Override
    public String toString() {
        return file + ":" + line + ": " + key + ": " + message;
    }
}
