package io.lagoonseam.entry.dispatch;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Bounds the number of distinct names in metrics: names up to the limit are used as they are, all later ones are
 * replaced by a common name. Thread-safe; concurrent first uses may exceed the limit slightly.
 */
final class BoundedNames {

    /** The name that replaces all names beyond the limit. */
    static final String OTHER = "other";

    private final Set<String> names = ConcurrentHashMap.newKeySet();
    private final int limit;

    BoundedNames(int limit) {
        this.limit = limit;
    }

    String of(String name) {
        if (names.contains(name)) {
            return name;
        }
        if (names.size() >= limit) {
            return OTHER;
        }
        names.add(name);
        return name;
    }
}
