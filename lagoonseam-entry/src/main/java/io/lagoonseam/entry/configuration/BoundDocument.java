package io.lagoonseam.entry.configuration;

import com.fasterxml.jackson.databind.node.MissingNode;
import io.lagoonseam.core.configuration.ConfigurationError;
import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.entry.yaml.LocatedDocument;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * A document that was bound to a typed value.
 *
 * @param kind its kind
 * @param name its name
 * @param document its source, for the location of errors
 * @param adder adds the value to a file set and returns false if the name is already taken
 * @param references its references to other documents
 */
record BoundDocument(
        String kind,
        String name,
        LocatedDocument document,
        Predicate<FileSet.Builder> adder,
        List<BoundDocument.Reference> references) {

    BoundDocument {
        references = List.copyOf(references);
    }

    /**
     * A reference to another document by name.
     *
     * @param pointer the JSON pointer of the reference
     * @param kind the kind of the other document
     * @param target the name of the other document
     */
    record Reference(String pointer, String kind, String target) {}

    /** Returns a copy without content and line numbers, which takes less memory while it is kept across generations. */
    BoundDocument withoutContent() {
        LocatedDocument source = new LocatedDocument(document.file(), MissingNode.getInstance(), Map.of());
        return new BoundDocument(kind, name, source, adder, references);
    }

    void report(ConfigurationErrorReporter reporter, String pointer, String message) {
        reporter.report(new ConfigurationError(document.file(), document.line(pointer), pointer, message));
    }
}
