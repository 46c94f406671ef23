package io.lagoonseam.core.configuration;

import java.util.List;

/**
 * A workspace: one customer's share of the system.
 *
 * @param name its name
 * @param classes the request classes that its callers may use, in order of preference
 * @param limits the name of its limits, or empty for none
 */
public record Workspace(String name, List<String> classes, String limits) {

    /** Copies the lists. */
    public Workspace {
        classes = List.copyOf(classes);
    }
}
