package io.lagoonseam.core.configuration;

import java.util.List;

/**
 * A workspace, the unit of tenancy: the request classes and limits of one customer.
 *
 * @param name the name of the workspace
 * @param classes the names of the request classes that its callers may use, in order of preference
 * @param limits the name of its limits, empty for no limits
 */
public record Workspace(String name, List<String> classes, String limits) {

    /** Creates a workspace with a copy of the list. */
    public Workspace {
        classes = List.copyOf(classes);
    }
}
