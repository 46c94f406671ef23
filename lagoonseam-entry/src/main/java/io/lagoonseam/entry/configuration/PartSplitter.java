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
 * writes few small parts. Request classes stay in one part, in the order of the files, which matters for them.
 */
final class PartSplitter {

    private static final String ORDERED_KIND = "RequestClass";
    private static final int DOCUMENTS_PER_BUCKET = 16;
    private static final int GROWTH = 2;
    /** Stands before each document. */
    static final String SEPARATOR = "---\n";

    private PartSplitter() {}

    private record Named(String kind, String name, String json) {

        static Named of(JsonNode root) {
            return new Named(root.path("kind").asText(), root.path("name").asText(), root.toString());
        }
    }

    /**
     * Splits files.
     *
     * @param files the files, which were checked
     * @return parts with a name each, in the order of their names
     */
    static List<SourceFile> split(List<SourceFile> files) {
        Map<String, List<Named>> byKind = new TreeMap<>();
        for (Named document : documents(files)) {
            byKind.computeIfAbsent(document.kind(), kind -> new ArrayList<>()).add(document);
        }
        List<SourceFile> parts = new ArrayList<>();
        byKind.forEach((kind, documents) -> splitKind(kind, documents, parts));
        return parts;
    }

    /**
     * Indexes the documents of parts.
     *
     * @param parts the parts
     * @return the JSON of each document by kind and name
     */
    static Map<String, String> index(Collection<SourceFile> parts) {
        ConfigurationErrorReporter reporter = new ConfigurationErrorReporter();
        Map<String, String> index = new TreeMap<>();
        for (SourceFile part : parts) {
            for (LocatedDocument document : PartReader.documents(part, reporter)) {
                Named named = Named.of(document.root());
                index.put(named.kind() + " " + named.name(), named.json());
            }
        }
        return index;
    }

    private static List<Named> documents(List<SourceFile> files) {
        LocatedYamlReader yaml = new LocatedYamlReader();
        ConfigurationErrorReporter reporter = new ConfigurationErrorReporter();
        List<Named> documents = new ArrayList<>();
        for (SourceFile file : files) {
            for (LocatedDocument document : yaml.read(file.name(), file.text(), reporter)) {
                documents.add(Named.of(document.root()));
            }
        }
        return documents;
    }

    private static void splitKind(String kind, List<Named> documents, List<SourceFile> parts) {
        if (kind.equals(ORDERED_KIND)) {
            parts.add(part(kind, documents));
            return;
        }
        int buckets = buckets(documents.size());
        Map<String, List<Named>> byBucket = new TreeMap<>();
        for (Named document : documents) {
            String bucket = "%s/%d/%04x".formatted(kind, buckets, Math.floorMod(mix(document.name()), buckets));
            byBucket.computeIfAbsent(bucket, name -> new ArrayList<>()).add(document);
        }
        byBucket.forEach((name, list) -> {
            list.sort((left, right) -> left.name().compareTo(right.name()));
            parts.add(part(name, list));
        });
    }

    private static int buckets(int documents) {
        int buckets = 1;
        while (buckets * DOCUMENTS_PER_BUCKET < documents) {
            buckets *= GROWTH;
        }
        return buckets;
    }

    private static int mix(String name) {
        int hash = name.hashCode() * 0x9E3779B9;
        return hash ^ hash >>> 15;
    }

    private static SourceFile part(String name, List<Named> documents) {
        StringBuilder text = new StringBuilder();
        for (Named document : documents) {
            text.append(SEPARATOR).append(document.json()).append('\n');
        }
        return new SourceFile(name, text.toString());
    }
}
