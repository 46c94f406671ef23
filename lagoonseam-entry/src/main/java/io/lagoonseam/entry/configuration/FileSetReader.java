package io.lagoonseam.entry.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import io.lagoonseam.core.configuration.ConfigurationError;
import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.entry.yaml.LocatedDocument;
import io.lagoonseam.entry.yaml.LocatedYamlReader;
import io.lagoonseam.entry.yaml.SchemaChecker;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/** Reads and checks a complete file set and reports all of its errors together. */
public final class FileSetReader {

    /** The resource name of the JSON schema, which has one definition for each kind of document. */
    public static final String SCHEMA = "/io/lagoonseam/entry/file-set.schema.json";

    private static final String DEFINITIONS = "$defs";

    private final Map<String, SchemaChecker> checkers = new TreeMap<>();

    /** Creates a reader that checks documents against the published schema. */
    public FileSetReader() {
        JsonNode schema = SchemaChecker.readSchema(SCHEMA);
        for (Map.Entry<String, JsonNode> kind : schema.get(DEFINITIONS).properties()) {
            checkers.put(kind.getKey(), SchemaChecker.of(kind.getValue()));
        }
    }

    /**
     * Reads the {@code .yaml} files of a folder in the order of their names.
     *
     * @param folder the folder
     * @param reporter receives an error if the folder or a file cannot be read, for each file that ends in
     *     {@code .yml}, and if no file ends in {@code .yaml}
     * @return the files that could be read
     */
    public static List<SourceFile> readFolder(Path folder, ConfigurationErrorReporter reporter) {
        List<SourceFile> files = new ArrayList<>();
        try (Stream<Path> paths = Files.list(folder)) {
            List<Path> sorted = paths.sorted().toList();
            for (Path path : sorted) {
                String name = path.getFileName().toString();
                if (name.endsWith(".yaml")) {
                    files.add(new SourceFile(name, Files.readString(path)));
                } else if (name.endsWith(".yml")) {
                    reporter.report(new ConfigurationError(
                            name, 0, "-", "file is ignored; expected a name that ends in .yaml"));
                }
            }
        } catch (IOException e) {
            reporter.report(new ConfigurationError(folder.toString(), 0, "-", "cannot be read: " + e.getMessage()));
            return files;
        }
        if (files.isEmpty()) {
            reporter.report(new ConfigurationError(
                    folder.toString(), 0, "-", "contains no file that ends in .yaml; expected at least one"));
        }
        return files;
    }

    /**
     * Reads and checks a complete file set.
     *
     * @param files its files
     * @param reporter receives the errors
     * @return the file set, or empty if there was any error
     */
    public Optional<FileSet> read(List<SourceFile> files, ConfigurationErrorReporter reporter) {
        LocatedYamlReader yaml = new LocatedYamlReader();
        List<LocatedDocument> documents = new ArrayList<>();
        for (SourceFile file : files) {
            documents.addAll(yaml.read(file.name(), file.text(), reporter));
        }
        FileSet fileSet = new FileSetAssembler(reporter).assemble(bind(documents, reporter));
        return reporter.hasErrors() ? Optional.empty() : Optional.of(fileSet);
    }

    /**
     * Checks each document against the schema and binds the valid ones to typed values.
     *
     * @param documents the documents
     * @param reporter receives the errors
     * @return the bound documents
     */
    List<BoundDocument> bind(List<LocatedDocument> documents, ConfigurationErrorReporter reporter) {
        List<BoundDocument> bound = new ArrayList<>();
        for (LocatedDocument document : documents) {
            String kind = document.root().path("kind").asText();
            SchemaChecker checker = checkers.get(kind);
            if (checker == null) {
                reportUnknownKind(kind, document, reporter);
            } else if (checker.check(document, reporter)) {
                bound.add(DocumentBinder.bind(kind, document));
            }
        }
        return bound;
    }

    private void reportUnknownKind(String kind, LocatedDocument document, ConfigurationErrorReporter reporter) {
        reporter.report(new ConfigurationError(
                document.file(),
                document.line("/kind"),
                "/kind",
                "'" + kind + "' is not a kind of document; expected one of " + String.join(", ", checkers.keySet())));
    }
}
