package io.lagoonseam.core.configuration;

import java.util.ArrayList;
import java.util.List;

/** Collects configuration errors, so that all of them are reported together. */
public final class ConfigurationErrorReporter {

    private final List<ConfigurationError> errors = new ArrayList<>();

    /**
     * Adds an error.
     *
     * @param error the error
     */
    public void report(ConfigurationError error) {
        errors.add(error);
    }

    /**
     * Returns whether any error was reported.
     *
     * @return true if there is at least one error
     */
    public boolean hasErrors() {
        return !errors.isEmpty();
    }

    /**
     * Returns the reported errors in the order of their reports.
     *
     * @return an immutable copy of the list
     */
    public List<ConfigurationError> errors() {
        return List.copyOf(errors);
    }
}
