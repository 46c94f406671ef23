package io.lagoonseam.entry.configuration;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The names and digests of the parts of a generation.
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
     * Returns the listing that results from a change.
     *
     * @param changed the digests by name of the parts that were added or changed
     * @param removed the names of the parts that were removed
     * @return the resulting listing
     */
    public Listing with(Map<String, String> changed, Collection<String> removed) {
        TreeMap<String, String> next = new TreeMap<>(digests);
        next.putAll(changed);
        next.keySet().removeAll(removed);
        return new Listing(next);
    }

    /**
     * Encodes the listing as text, with one line for each part.
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
     * Parses a listing.
     *
     * @param value the output of {@link #encode()} in UTF-8
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
     * Returns the digest of the encoded listing.
     *
     * @return the SHA-256 digest in hexadecimal
     */
    public String digest() {
        return KeyHash.digest(encode());
    }
}
