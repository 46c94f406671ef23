package io.lagoonseam.entry.configuration;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A file set split into the parts by which it is kept.
 *
 * @param listing the parts and their digests
 * @param texts the content by digest
 */
public record ConfigurationParts(Listing listing, Map<String, String> texts) {

    /** Copies the map. */
    public ConfigurationParts {
        texts = Map.copyOf(texts);
    }

    /**
     * Splits a checked file set.
     *
     * @param files its files
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
     * @return bytes
     */
    public int largestBytes() {
        return texts.values().stream()
                .mapToInt(text -> text.getBytes(StandardCharsets.UTF_8).length)
                .max()
                .orElse(0);
    }

    /**
     * Counts the parts that another set lacks.
     *
     * @param other the other set
     * @return the number of parts
     */
    public int changedSince(ConfigurationParts other) {
        return (int) texts.keySet().stream()
                .filter(digest -> !other.texts().containsKey(digest))
                .count();
    }
}
