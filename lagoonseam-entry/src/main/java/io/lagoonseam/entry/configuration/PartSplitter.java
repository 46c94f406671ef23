package io.lagoonseam.entry.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import io.lagoonseam.entry.yaml.LocatedDocument;
import io.lagoonseam.entry.yaml.LocatedYamlReader;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Splits the documents of a file set into small parts by kind and by the hash of the name, so that a small change
 * rewrites only a few small parts. All request classes form one part in the order of the files, because their order is
 * significant.
 */
final class PartSplitter {

    private static final String ORDERED_KIND = "RequestClass";
    private static final int DOCUMENTS_PER_BUCKET = 16;
    private static final int BUCKET_GROWTH_FACTOR = 2;
    /** The line that precedes each document in a part. */
    static final String SEPARATOR = "---\n";

    private PartSplitter() {}

    private record NamedDocument(String kind, String name, String json) {

        static NamedDocument of(JsonNode root) {
            return new NamedDocument(
                    root.path("kind").asText(), root.path("name").asText(), root.toString());
        }
    }

    /**
     * Splits the documents of files into parts.
     *
     * @param files the files, already checked
     * @return the named parts, ordered by name
     */
    static List<SourceFile> split(List<SourceFile> files) {
        Map<String, List<NamedDocument>> byKind = new TreeMap<>();
        for (NamedDocument document : documents(files)) {
            byKind.computeIfAbsent(document.kind(), kind -> new ArrayList<>()).add(document);
        }
        List<SourceFile> parts = new ArrayList<>();
        byKind.forEach((kind, documents) -> splitKind(kind, documents, parts));
        return parts;
    }

    /**
     * Indexes the documents of parts by kind and name.
     *
     * @param parts the parts
     * @return the JSON of each document; the key is its kind and name, separated by a space
     */
    static Map<String, String> index(Collection<SourceFile> parts) {
        ConfigurationErrorReporter reporter = new ConfigurationErrorReporter();
        Map<String, String> index = new TreeMap<>();
        for (SourceFile part : parts) {
            for (LocatedDocument document : PartReader.documents(part, reporter)) {
                NamedDocument named = NamedDocument.of(document.root());
                index.put(named.kind() + " " + named.name(), named.json());
            }
        }
        return index;
    }

    private static List<NamedDocument> documents(List<SourceFile> files) {
        LocatedYamlReader yaml = new LocatedYamlReader();
        ConfigurationErrorReporter reporter = new ConfigurationErrorReporter();
        List<NamedDocument> documents = new ArrayList<>();
        for (SourceFile file : files) {
            for (LocatedDocument document : yaml.read(file.name(), file.text(), reporter)) {
                documents.add(NamedDocument.of(document.root()));
            }
        }
        return documents;
    }

    private static void splitKind(String kind, List<NamedDocument> documents, List<SourceFile> parts) {
        if (kind.equals(ORDERED_KIND)) {
            parts.add(newPart(kind, documents));
            return;
        }
        int buckets = bucketCount(documents.size());
        Map<String, List<NamedDocument>> byBucket = new TreeMap<>();
        for (NamedDocument document : documents) {
            String bucket = "%s/%d/%04x".formatted(kind, buckets, Math.floorMod(spreadHash(document.name()), buckets));
            byBucket.computeIfAbsent(bucket, name -> new ArrayList<>()).add(document);
        }
        byBucket.forEach((name, list) -> {
            list.sort((left, right) -> left.name().compareTo(right.name()));
            parts.add(newPart(name, list));
        });
    }

    /**
     * Returns the smallest power of two that leaves at most {@value #DOCUMENTS_PER_BUCKET} documents to a bucket on
     * average.
     */
    private static int bucketCount(int documents) {
        int buckets = 1;
        while (buckets * DOCUMENTS_PER_BUCKET < documents) {
            buckets *= BUCKET_GROWTH_FACTOR;
        }
        return buckets;
    }

    private static int spreadHash(String name) {
        int hash = name.hashCode() * 0x9E3779B9;
        return hash ^ hash >>> 15;
    }

    private static SourceFile newPart(String name, List<NamedDocument> documents) {
        StringBuilder text = new StringBuilder();
        for (NamedDocument document : documents) {
            text.append(SEPARATOR).append(document.json()).append('\n');
        }
        return new SourceFile(name, text.toString());
    }
}
