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
     * Compares the stored parts of a generation with an operator's files.
     *
     * @param before the stored parts
     * @param after the operator's files, already checked
     * @return the documents that differ, ordered by kind and name
     */
    public static List<DocumentDifference> ofFiles(Collection<SourceFile> before, List<SourceFile> after) {
        return between(before, PartSplitter.split(after));
    }

    /**
     * Compares the parts of two generations.
     *
     * @param before the parts of the earlier generation
     * @param after the parts of the later generation
     * @return the documents that differ, ordered by kind and name
     */
    public static List<DocumentDifference> between(Collection<SourceFile> before, Collection<SourceFile> after) {
        Map<String, String> beforeByKey = PartSplitter.index(before);
        Map<String, String> afterByKey = PartSplitter.index(after);
        TreeSet<String> keys = new TreeSet<>(beforeByKey.keySet());
        keys.addAll(afterByKey.keySet());
        List<DocumentDifference> differences = new ArrayList<>();
        for (String key : keys) {
            String previous = beforeByKey.getOrDefault(key, "");
            String next = afterByKey.getOrDefault(key, "");
            if (!previous.equals(next)) {
                int space = key.indexOf(' ');
                differences.add(
                        new DocumentDifference(key.substring(0, space), key.substring(space + 1), previous, next));
            }
        }
        return differences;
    }
}
