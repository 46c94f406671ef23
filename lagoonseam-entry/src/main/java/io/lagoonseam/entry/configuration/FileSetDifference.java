package io.lagoonseam.entry.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Compares file sets document by document. */
public final class FileSetDifference {

    private FileSetDifference() {}

    /**
     * Compares what is kept with an operator's files.
     *
     * @param before the parts of a generation
     * @param after the files
     * @return the documents that differ, by kind and name
     */
    public static List<DocumentDifference> ofFiles(Collection<SourceFile> before, List<SourceFile> after) {
        return between(before, PartSplitter.split(after));
    }

    /**
     * Compares two generations.
     *
     * @param before the parts of the one before
     * @param after the parts of the one after
     * @return the documents that differ, by kind and name
     */
    public static List<DocumentDifference> between(Collection<SourceFile> before, Collection<SourceFile> after) {
        Map<String, String> old = PartSplitter.index(before);
        Map<String, String> now = PartSplitter.index(after);
        TreeSet<String> keys = new TreeSet<>(old.keySet());
        keys.addAll(now.keySet());
        List<DocumentDifference> differences = new ArrayList<>();
        for (String key : keys) {
            String previous = old.getOrDefault(key, "");
            String next = now.getOrDefault(key, "");
            if (!previous.equals(next)) {
                int space = key.indexOf(' ');
                differences.add(
                        new DocumentDifference(key.substring(0, space), key.substring(space + 1), previous, next));
            }
        }
        return differences;
    }
}
