package io.lagoonseam.entry.configuration;

import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.core.configuration.Model;
import io.lagoonseam.core.configuration.RequestClass;
import io.lagoonseam.core.configuration.Service;
import io.lagoonseam.core.configuration.ServiceKind;
import io.lagoonseam.core.configuration.Upstream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

/** Assembles bound documents into a file set and checks the rules that span several documents. */
final class FileSetAssembler {

    /** Kinds whose documents are checked against one another beyond their references. */
    private static final Set<String> KINDS_WITH_RULES = Set.of("RequestClass", "Service", "Upstream", "Model");

    private static final int MAX_NAMES_IN_MESSAGE = 20;

    private final ConfigurationErrorReporter reporter;
    private final FileSet.Builder builder = FileSet.builder();

    FileSetAssembler(ConfigurationErrorReporter reporter) {
        this.reporter = reporter;
    }

    /**
     * Assembles a file set from all its documents.
     *
     * @param documents the documents
     * @return the file set, valid only if no error was reported
     */
    FileSet assemble(List<BoundDocument> documents) {
        add(documents);
        FileSet fileSet = builder.build();
        check(documents, fileSet);
        return fileSet;
    }

    /**
     * Assembles a file set from an earlier, checked one and the documents that differ. Only the changed documents are
     * checked, unless the change may affect others.
     *
     * @param base the earlier file set
     * @param changedKinds by kind, all documents of each kind in which a document was added, changed or removed
     * @param changed the documents that were added or changed
     * @param all supplies all documents, for a full check if a name that others may refer to was removed or a kind with
     *     rules between documents changed
     * @return the file set, valid only if no error was reported
     */
    FileSet assembleIncrementally(
            FileSet base,
            Map<String, List<BoundDocument>> changedKinds,
            List<BoundDocument> changed,
            Supplier<List<BoundDocument>> all) {
        builder.share(base, kind -> !changedKinds.containsKey(kind));
        changedKinds.values().forEach(this::add);
        FileSet fileSet = builder.build();
        Map<String, Set<String>> before = names(base);
        Map<String, Set<String>> after = names(fileSet);
        boolean noNameRemoved = before.entrySet().stream()
                .filter(entry -> changedKinds.containsKey(entry.getKey()))
                .allMatch(entry -> after.get(entry.getKey()).containsAll(entry.getValue()));
        boolean noRulesAffected = KINDS_WITH_RULES.stream().noneMatch(changedKinds::containsKey);
        check(noNameRemoved && noRulesAffected ? changed : all.get(), fileSet);
        return fileSet;
    }

    private void add(List<BoundDocument> documents) {
        for (BoundDocument document : documents) {
            if (!document.adder().test(builder)) {
                document.report(
                        reporter,
                        "/name",
                        "a " + document.kind() + " named '" + document.name()
                                + "' is already defined; choose another name");
            }
        }
    }

    private void check(List<BoundDocument> documents, FileSet fileSet) {
        Map<String, Set<String>> names = names(fileSet);
        for (BoundDocument document : documents) {
            checkReferences(document, names);
            checkRules(document, fileSet);
        }
        checkAddresses(documents, fileSet);
    }

    private static Map<String, Set<String>> names(FileSet fileSet) {
        return Map.of(
                "Workspace", fileSet.workspaces().keySet(),
                "RequestClass", fileSet.classes().keySet(),
                "ServiceLevel", fileSet.serviceLevels().keySet(),
                "Service", fileSet.services().keySet(),
                "Model", fileSet.models().keySet(),
                "Limits", fileSet.limits().keySet());
    }

    private void checkReferences(BoundDocument document, Map<String, Set<String>> names) {
        for (BoundDocument.Reference reference : document.references()) {
            Set<String> definedNames = names.get(reference.kind());
            if (!definedNames.contains(reference.target())) {
                document.report(
                        reporter,
                        reference.pointer(),
                        "'" + reference.target() + "' is not defined; defined names: " + formatNames(definedNames));
            }
        }
    }

    private static String formatNames(Set<String> definedNames) {
        TreeSet<String> sorted = new TreeSet<>(definedNames);
        if (sorted.isEmpty()) {
            return "none";
        }
        String first =
                String.join(", ", sorted.stream().limit(MAX_NAMES_IN_MESSAGE).toList());
        return sorted.size() <= MAX_NAMES_IN_MESSAGE
                ? first
                : first + " and " + (sorted.size() - MAX_NAMES_IN_MESSAGE) + " more";
    }

    private void checkRules(BoundDocument document, FileSet fileSet) {
        if ("Model".equals(document.kind())) {
            checkPlacedModel(document, fileSet);
        }
        if (!"RequestClass".equals(document.kind())) {
            return;
        }
        RequestClass requestClass = fileSet.classes().get(document.name());
        Service service = fileSet.services().get(requestClass.service());
        if (requestClass.model().isEmpty() || service == null) {
            return;
        }
        Model model = fileSet.models().get(requestClass.model().get());
        if (service.kind() == ServiceKind.PLAIN) {
            document.report(
                    reporter,
                    "/model",
                    "'" + service.name() + "' is a plain service, which has no models; remove the key");
        } else if (model != null && !model.service().equals(service.name())) {
            document.report(
                    reporter,
                    "/model",
                    "'" + model.name() + "' is a model of service '" + model.service() + "', not of '" + service.name()
                            + "'; name a model of '" + service.name() + "'");
        }
    }

    /**
     * Checks that a placed model, which has a leastWorkers above 0, is the only one of its service, because engines are
     * selected by service and not by model. Also checks that mostWorkers is at least leastWorkers.
     */
    private void checkPlacedModel(BoundDocument document, FileSet fileSet) {
        Model model = fileSet.models().get(document.name());
        long models = fileSet.models().values().stream()
                .filter(other -> other.service().equals(model.service()))
                .count();
        if (model.isPlaced() && models > 1) {
            document.report(
                    reporter,
                    "/leastWorkers",
                    "service '" + model.service() + "' has " + models
                            + " models; a model with leastWorkers above 0 must be the only one of its service");
        }
        if (model.leastWorkers() > model.mostWorkers()) {
            document.report(
                    reporter, "/mostWorkers", "must be at least the value of leastWorkers, " + model.leastWorkers());
        }
    }

    private void checkAddresses(List<BoundDocument> documents, FileSet fileSet) {
        Map<String, String> upstreamsByAddress = new HashMap<>();
        for (BoundDocument document : documents) {
            if (!"Upstream".equals(document.kind())) {
                continue;
            }
            Upstream upstream = fileSet.upstreams().get(document.name());
            String address = upstream.host() + ":" + upstream.port();
            String other = upstreamsByAddress.putIfAbsent(address, upstream.name());
            if (other != null && !other.equals(upstream.name())) {
                document.report(
                        reporter,
                        "/port",
                        "upstream '" + other + "' already has the address " + address + "; give each upstream its own");
            }
        }
    }
}
