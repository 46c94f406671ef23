package io.lagoonseam.core.configuration;

import java.util.ArrayList;
import java.util.List;

/** Collects every fault, so that all are reported at once. */
public final class ConfigurationErrorReporter {

    private final List<ConfigurationError> errors = new ArrayList<>();

    /**
     * Adds a fault.
     *
     * @param error the fault
     */
    public void report(ConfigurationError error) {
        errors.add(error);
    }

    /**
     * Returns whether any fault was reported.
     *
     * @return true if there is at least one
     */
    public boolean hasErrors() {
        return !errors.isEmpty();
    }

    /**
     * Returns the faults in the order of their reports.
     *
     * @return an immutable copy
     */
    public List<ConfigurationError> errors() {
        return List.copyOf(errors);
    }
}
