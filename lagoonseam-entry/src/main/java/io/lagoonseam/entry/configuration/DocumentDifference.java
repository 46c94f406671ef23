package io.lagoonseam.entry.configuration;

/**
 * One document that differs between two file sets.
 *
 * @param kind its kind
 * @param name its name
 * @param before its content before as JSON, or empty if it is new
 * @param after its content after as JSON, or empty if it was removed
 */
public record DocumentDifference(String kind, String name, String before, String after) {

    /**
     * Returns what names the document.
     *
     * @return kind and name
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
