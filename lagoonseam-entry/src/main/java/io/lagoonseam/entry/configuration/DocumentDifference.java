package io.lagoonseam.entry.configuration;

/**
 * A document that differs between two file sets.
 *
 * @param kind its kind
 * @param name its name
 * @param before its earlier content as JSON, or empty if it was added
 * @param after its later content as JSON, or empty if it was removed
 */
public record DocumentDifference(String kind, String name, String before, String after) {

    /**
     * Returns the key that identifies the document within a file set.
     *
     * @return its kind and name, separated by a space
     */
    public String key() {
        return kind + " " + name;
    }

    @Override
    public String toString() {
        if (before.isEmpty()) {
            return "+ " + key() + " " + after;
        }
        if (after.isEmpty()) {
            return "- " + key() + " " + before;
        }
        return "~ " + key() + "\n  - " + before + "\n  + " + after;
    }
}
