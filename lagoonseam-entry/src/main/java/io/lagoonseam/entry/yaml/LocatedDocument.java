package io.lagoonseam.entry.yaml;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/**
 * A YAML document with the line numbers of its values.
 *
 * @param file the name of its file
 * @param root its content
 * @param lines the line of each value, from 1, by JSON pointer
 */
public record LocatedDocument(String file, JsonNode root, Map<String, Integer> lines) {

    /** Copies the map. */
    public LocatedDocument {
        lines = Map.copyOf(lines);
    }

    /**
     * Returns the line of a value.
     *
     * @param pointer its JSON pointer
     * @return its line, from 1, or that of its nearest parent with a known line, or 0 if there is none
     */
    public int line(String pointer) {
        String nearest = pointer;
        while (!lines.containsKey(nearest) && !nearest.isEmpty()) {
            nearest = nearest.substring(0, nearest.lastIndexOf('/'));
        }
        return lines.getOrDefault(nearest, 0);
    }
}
