package io.lagoonseam.entry.configuration;

import java.util.List;
import java.util.Map;

/**
 * An accepted change of the file set, as stored permanently on the platform.
 *
 * @param manifest the manifest that makes it current
 * @param base the change that it was applied to, or null for the first change
 * @param changedParts the digests by name of the parts that were added or changed
 * @param removedParts the names of the parts that were removed
 * @param texts the content of the changed parts by digest, or empty if it is too large
 * @param differences the documents that differ, or empty if they are omitted
 * @param differencesOmitted whether the differences are omitted because they are many; they can be computed from the
 *     parts, which are kept
 */
public record Change(
        Manifest manifest,
        Manifest.ChangeLink base,
        Map<String, String> changedParts,
        List<String> removedParts,
        Map<String, String> texts,
        List<DocumentDifference> differences,
        boolean differencesOmitted) {

    /** Copies the collections. */
    public Change {
        changedParts = Map.copyOf(changedParts);
        removedParts = List.copyOf(removedParts);
        texts = Map.copyOf(texts);
        differences = List.copyOf(differences);
    }

    /**
     * Returns a copy of this change that includes its differences.
     *
     * @param computed the differences
     * @return the change, with nothing omitted
     */
    Change withDifferences(List<DocumentDifference> computed) {
        return new Change(manifest, base, changedParts, removedParts, texts, computed, false);
    }
}
