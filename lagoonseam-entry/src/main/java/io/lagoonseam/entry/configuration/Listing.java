package io.lagoonseam.entry.configuration;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The parts of one generation.
 *
 * @param digests the digest of each part by its name
 */
public record Listing(SortedMap<String, String> digests) {

    /** A listing without parts. */
    public static final Listing EMPTY = new Listing(new TreeMap<>());

    /** Copies the map. */
    public Listing {
        digests = Collections.unmodifiableSortedMap(new TreeMap<>(digests));
    }

    /**
     * Returns the listing after a change.
     *
     * @param changed digests of parts that were added or changed
     * @param removed names of parts that were removed
     * @return the new listing
     */
    public Listing with(Map<String, String> changed, Collection<String> removed) {
        TreeMap<String, String> next = new TreeMap<>(digests);
        next.putAll(changed);
        next.keySet().removeAll(removed);
        return new Listing(next);
    }

    /**
     * Writes the listing, one part a line.
     *
     * @return the text
     */
    public String encode() {
        StringBuilder text = new StringBuilder();
        digests.forEach(
                (name, digest) -> text.append(digest).append(' ').append(name).append('\n'));
        return text.toString();
    }

    /**
     * Reads a listing.
     *
     * @param value what {@link #encode()} wrote
     * @return the listing
     */
    public static Listing parse(byte[] value) {
        TreeMap<String, String> digests = new TreeMap<>();
        for (String line : new String(value, StandardCharsets.UTF_8).split("\n")) {
            int space = line.indexOf(' ');
            if (space > 0) {
                digests.put(line.substring(space + 1), line.substring(0, space));
            }
        }
        return new Listing(digests);
    }

    /**
     * Returns the digest of the listing.
     *
     * @return a digest in hexadecimal
     */
    public String digest() {
        return KeyHash.digest(encode());
    }
}
