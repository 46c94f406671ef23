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
 * A document that was turned into a typed value.
 *
 * @param kind its kind
 * @param name its name
 * @param document where it stands
 * @param adder adds the value to a file set and returns whether the name was free
 * @param references the names of other documents that it gives
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
     * A name of another document.
     *
     * @param pointer where it stands
     * @param kind the kind of the other document
     * @param target its name
     */
    record Reference(String pointer, String kind, String target) {}

    /** Returns the same without its content and lines, to be kept for long. */
    BoundDocument light() {
        LocatedDocument place = new LocatedDocument(document.file(), MissingNode.getInstance(), Map.of());
        return new BoundDocument(kind, name, place, adder, references);
    }

    void report(ConfigurationErrorReporter reporter, String pointer, String message) {
        reporter.report(new ConfigurationError(document.file(), document.line(pointer), pointer, message));
    }
}
