package io.lagoonseam.entry.configuration;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A file set, split into the parts in which it is stored.
 *
 * @param listing the names and digests of the parts
 * @param texts the content of each part by digest
 */
public record ConfigurationParts(Listing listing, Map<String, String> texts) {

    /** Copies the map. */
    public ConfigurationParts {
        texts = Map.copyOf(texts);
    }

    /**
     * Splits a file set into parts.
     *
     * @param files its files, already checked
     * @return its parts
     */
    public static ConfigurationParts of(List<SourceFile> files) {
        TreeMap<String, String> digests = new TreeMap<>();
        Map<String, String> texts = new HashMap<>();
        for (SourceFile part : PartSplitter.split(files)) {
            String digest = KeyHash.digest(part.text());
            digests.put(part.name(), digest);
            texts.put(digest, part.text());
        }
        return new ConfigurationParts(new Listing(digests), texts);
    }

    /**
     * Returns the size of the largest part.
     *
     * @return the size in bytes, 0 if there are no parts
     */
    public int largestBytes() {
        return texts.values().stream()
                .mapToInt(text -> text.getBytes(StandardCharsets.UTF_8).length)
                .max()
                .orElse(0);
    }

    /**
     * Counts the parts whose content another set does not contain.
     *
     * @param other the other set
     * @return the number of parts with different content
     */
    public int countPartsMissingFrom(ConfigurationParts other) {
        return (int) texts.keySet().stream()
                .filter(digest -> !other.texts().containsKey(digest))
                .count();
    }
}
