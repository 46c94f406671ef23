package io.lagoonseam.entry.dispatch;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Keeps the number of names in metrics bounded: the first ones count for themselves, all later ones together. */
final class BoundedNames {

    /** The name under which all later names are counted. */
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
