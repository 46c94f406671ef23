package io.lagoonseam.entry.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.lagoonseam.core.configuration.ConfigurationError;
import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.entry.yaml.LocatedDocument;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** Reads the parts of a generation. Parts that are unchanged since the generation read before are not parsed again. */
public final class PartReader {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final FileSetReader reader = new FileSetReader();
    private Map<String, List<BoundDocument>> boundByDigest = new HashMap<>();
    private Listing lastListing = Listing.EMPTY;
    private FileSet lastFileSet;

    /**
     * Reads a generation.
     *
     * @param listing its parts
     * @param texts the content of the parts by digest; parts of the generation read last may be absent
     * @param reporter receives the errors
     * @return the file set, or empty if there was any error
     */
    public Optional<FileSet> read(Listing listing, Map<String, String> texts, ConfigurationErrorReporter reporter) {
        Map<String, List<BoundDocument>> next = new HashMap<>();
        List<BoundDocument> changed = new ArrayList<>();
        listing.digests().forEach((name, digest) -> {
            List<BoundDocument> part = boundByDigest.get(digest);
            if (part == null) {
                part = bind(new SourceFile(name, texts.get(digest)), reporter);
                changed.addAll(part);
            }
            next.put(digest, part);
        });
        FileSet fileSet = assemble(listing, next, changed, reporter);
        if (reporter.hasErrors()) {
            return Optional.empty();
        }
        boundByDigest = next;
        lastListing = listing;
        lastFileSet = fileSet;
        return Optional.of(fileSet);
    }

    private FileSet assemble(
            Listing listing,
            Map<String, List<BoundDocument>> parts,
            List<BoundDocument> changed,
            ConfigurationErrorReporter reporter) {
        FileSetAssembler assembler = new FileSetAssembler(reporter);
        Supplier<List<BoundDocument>> all = () -> documentsOf(listing, parts, kind -> true);
        if (lastFileSet == null) {
            return assembler.assemble(all.get());
        }
        Map<String, List<BoundDocument>> changedKinds = new HashMap<>();
        for (String kind : changedKinds(listing)) {
            changedKinds.put(kind, documentsOf(listing, parts, kind::equals));
        }
        return assembler.assembleIncrementally(lastFileSet, changedKinds, changed, all);
    }

    private Set<String> changedKinds(Listing listing) {
        Set<String> kinds = new TreeSet<>();
        collectChanged(listing, lastListing, kinds);
        collectChanged(lastListing, listing, kinds);
        return kinds;
    }

    private static void collectChanged(Listing from, Listing to, Set<String> kinds) {
        from.digests().forEach((name, digest) -> {
            if (!digest.equals(to.digests().get(name))) {
                kinds.add(kindOf(name));
            }
        });
    }

    private static String kindOf(String partName) {
        int slash = partName.indexOf('/');
        return slash < 0 ? partName : partName.substring(0, slash);
    }

    private static List<BoundDocument> documentsOf(
            Listing listing, Map<String, List<BoundDocument>> parts, Predicate<String> isWanted) {
        List<BoundDocument> documents = new ArrayList<>();
        listing.digests().forEach((name, digest) -> {
            if (isWanted.test(kindOf(name))) {
                documents.addAll(parts.get(digest));
            }
        });
        return documents;
    }

    private List<BoundDocument> bind(SourceFile part, ConfigurationErrorReporter reporter) {
        return reader.bind(documents(part, reporter), reporter).stream()
                .map(BoundDocument::withoutContent)
                .toList();
    }

    /**
     * Parses the documents of a part, each of which is one line of JSON.
     *
     * @param part the part
     * @param reporter receives the errors
     * @return the documents that could be parsed
     */
    static List<LocatedDocument> documents(SourceFile part, ConfigurationErrorReporter reporter) {
        List<LocatedDocument> documents = new ArrayList<>();
        int line = 0;
        for (String text : part.text().split("\n")) {
            line++;
            if (!text.isEmpty() && !PartSplitter.SEPARATOR.startsWith(text)) {
                try {
                    JsonNode root = MAPPER.readTree(text);
                    documents.add(new LocatedDocument(part.name(), root, Map.of("", line)));
                } catch (JsonProcessingException e) {
                    reporter.report(new ConfigurationError(part.name(), line, "-", e.getOriginalMessage()));
                }
            }
        }
        return documents;
    }
}
