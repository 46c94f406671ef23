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

/** Puts bound documents together and checks what must hold between them. */
final class FileSetAssembler {

    private static final Set<String> RULED_KINDS = Set.of("RequestClass", "Service", "Upstream", "Model");
    private static final int NAMES_IN_MESSAGE = 20;

    private final ConfigurationErrorReporter reporter;
    private final FileSet.Builder builder = FileSet.builder();

    FileSetAssembler(ConfigurationErrorReporter reporter) {
        this.reporter = reporter;
    }

    /**
     * Puts documents together.
     *
     * @param documents all documents of a file set
     * @return the file set, of use only if the reporter heard of no fault
     */
    FileSet assemble(List<BoundDocument> documents) {
        add(documents);
        FileSet fileSet = builder.build();
        check(documents, fileSet);
        return fileSet;
    }

    /**
     * Puts documents together with those of a file set that was checked before.
     *
     * @param base the file set that was checked
     * @param changedKinds all documents of each kind that has changed ones
     * @param changed the documents that were added or changed
     * @param all gives all documents, where names that may be referred to have gone
     * @return the file set, of use only if the reporter heard of no fault
     */
    FileSet assembleOn(
            FileSet base,
            Map<String, List<BoundDocument>> changedKinds,
            List<BoundDocument> changed,
            Supplier<List<BoundDocument>> all) {
        builder.share(base, kind -> !changedKinds.containsKey(kind));
        changedKinds.values().forEach(this::add);
        FileSet fileSet = builder.build();
        Map<String, Set<String>> before = names(base);
        Map<String, Set<String>> after = names(fileSet);
        boolean namesStay = before.entrySet().stream()
                .filter(entry -> changedKinds.containsKey(entry.getKey()))
                .allMatch(entry -> after.get(entry.getKey()).containsAll(entry.getValue()));
        boolean rulesStay = RULED_KINDS.stream().noneMatch(changedKinds::containsKey);
        check(namesStay && rulesStay ? changed : all.get(), fileSet);
        return fileSet;
    }

    private void add(List<BoundDocument> documents) {
        for (BoundDocument document : documents) {
            if (!document.adder().test(builder)) {
                document.report(
                        reporter,
                        "/name",
                        "a " + document.kind() + " named '" + document.name()
                                + "' stands already; choose another name");
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
            Set<String> known = names.get(reference.kind());
            if (!known.contains(reference.target())) {
                document.report(
                        reporter,
                        reference.pointer(),
                        "'" + reference.target() + "' is not defined; known are " + listed(known));
            }
        }
    }

    private static String listed(Set<String> known) {
        TreeSet<String> sorted = new TreeSet<>(known);
        if (sorted.isEmpty()) {
            return "none";
        }
        String first = String.join(", ", sorted.stream().limit(NAMES_IN_MESSAGE).toList());
        return sorted.size() <= NAMES_IN_MESSAGE
                ? first
                : first + " and " + (sorted.size() - NAMES_IN_MESSAGE) + " more";
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

    /** A service whose models are placed has one model, since requests find its engines by service. */
    private void checkPlacedModel(BoundDocument document, FileSet fileSet) {
        Model model = fileSet.models().get(document.name());
        long models = fileSet.models().values().stream()
                .filter(other -> other.service().equals(model.service()))
                .count();
        if (model.isPlaced() && models > 1) {
            document.report(
                    reporter,
                    "/leastWorkers",
                    "'" + model.service() + "' has " + models
                            + " models; a placed model must be the only one of its service");
        }
        if (model.leastWorkers() > model.mostWorkers()) {
            document.report(reporter, "/mostWorkers", "must not be below leastWorkers, " + model.leastWorkers());
        }
    }

    private void checkAddresses(List<BoundDocument> documents, FileSet fileSet) {
        Map<String, String> taken = new HashMap<>();
        for (BoundDocument document : documents) {
            if (!"Upstream".equals(document.kind())) {
                continue;
            }
            Upstream upstream = fileSet.upstreams().get(document.name());
            String address = upstream.host() + ":" + upstream.port();
            String other = taken.putIfAbsent(address, upstream.name());
            if (other != null && !other.equals(upstream.name())) {
                document.report(
                        reporter,
                        "/port",
                        "upstream '" + other + "' has the address " + address + " already; give each its own");
            }
        }
    }
}
