package io.lagoonseam.entry.configuration;

import java.util.List;
import java.util.Map;

/**
 * One change of the file set as it is kept for good.
 *
 * @param manifest the manifest that makes it current
 * @param base the change it was made on, or null for the first
 * @param changedParts the digests of parts that were added or changed, by name
 * @param removedParts the names of parts that were removed
 * @param texts the content of changed parts by digest, where it is small
 * @param differences the documents that differ, unless they are left out
 * @param differencesOmitted whether they are left out since they are many; they follow from the parts, which are kept
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
     * Returns this change with its differences.
     *
     * @param found the differences
     * @return the same change, nothing left out
     */
    Change withDifferences(List<DocumentDifference> found) {
        return new Change(manifest, base, changedParts, removedParts, texts, found, false);
    }
}
