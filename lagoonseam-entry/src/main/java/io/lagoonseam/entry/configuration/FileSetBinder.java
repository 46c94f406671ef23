package io.lagoonseam.entry.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import io.lagoonseam.core.configuration.ApiKey;
import io.lagoonseam.core.configuration.ConfigurationError;
import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.core.configuration.Limits;
import io.lagoonseam.core.configuration.Model;
import io.lagoonseam.core.configuration.RequestClass;
import io.lagoonseam.core.configuration.Retention;
import io.lagoonseam.core.configuration.Service;
import io.lagoonseam.core.configuration.ServiceKind;
import io.lagoonseam.core.configuration.ServiceLevel;
import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.configuration.Workspace;
import io.lagoonseam.entry.yaml.LocatedDocument;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/** Turns checked documents into a file set and checks the references between them. */
final class FileSetBinder {

    private final ConfigurationErrorReporter reporter;
    private final FileSet.Builder builder = FileSet.builder();
    private final List<Reference> references = new ArrayList<>();

    FileSetBinder(ConfigurationErrorReporter reporter) {
        this.reporter = reporter;
    }

    private record Reference(
            LocatedDocument document, String pointer, String target, Function<FileSet, Set<String>> known) {}

    void bind(String kind, LocatedDocument document) {
        boolean added =
                switch (kind) {
                    case "Workspace" -> builder.add(workspace(document));
                    case "Key" -> builder.add(key(document));
                    case "RequestClass" -> builder.add(requestClass(document));
                    case "ServiceLevel" -> builder.add(serviceLevel(document.root()));
                    case "Service" -> builder.add(service(document.root()));
                    case "Upstream" -> builder.add(upstream(document));
                    case "Model" -> builder.add(model(document));
                    case "Limits" -> builder.add(limits(document.root()));
                    case "Retention" -> builder.add(retention(document.root()));
                    default -> throw new IllegalStateException("no binding for kind " + kind);
                };
        if (!added) {
            String name = document.root().get("name").asText();
            report(document, "/name", "a " + kind + " named '" + name + "' stands already; choose another name");
        }
    }

    FileSet finish() {
        FileSet fileSet = builder.build();
        for (Reference reference : references) {
            Set<String> known = reference.known().apply(fileSet);
            if (!known.contains(reference.target())) {
                report(
                        reference.document(),
                        reference.pointer(),
                        "'" + reference.target() + "' is not defined; known are "
                                + String.join(", ", new TreeSet<>(known)));
            }
        }
        return fileSet;
    }

    private void report(LocatedDocument document, String pointer, String message) {
        reporter.report(new ConfigurationError(document.file(), document.line(pointer), pointer, message));
    }

    private void refer(LocatedDocument document, String pointer, Function<FileSet, Set<String>> known) {
        String target = document.root().at(pointer).asText();
        references.add(new Reference(document, pointer, target, known));
    }

    private static Set<String> serviceNames(FileSet fileSet) {
        return fileSet.services().keySet();
    }

    private Workspace workspace(LocatedDocument document) {
        JsonNode root = document.root();
        List<String> classes = new ArrayList<>();
        for (JsonNode item : root.get("classes")) {
            refer(
                    document,
                    "/classes/" + classes.size(),
                    fileSet -> fileSet.classes().keySet());
            classes.add(item.asText());
        }
        String limits = root.path("limits").asText("");
        if (!limits.isEmpty()) {
            refer(document, "/limits", fileSet -> fileSet.limits().keySet());
        }
        return new Workspace(root.get("name").asText(), classes, limits);
    }

    private ApiKey key(LocatedDocument document) {
        JsonNode root = document.root();
        refer(document, "/workspace", fileSet -> fileSet.workspaces().keySet());
        return new ApiKey(
                root.get("name").asText(),
                root.get("workspace").asText(),
                root.get("saltHex").asText(),
                root.get("hashHex").asText());
    }

    private RequestClass requestClass(LocatedDocument document) {
        JsonNode root = document.root();
        refer(document, "/service", FileSetBinder::serviceNames);
        refer(document, "/serviceLevel", fileSet -> fileSet.serviceLevels().keySet());
        if (root.has("model")) {
            refer(document, "/model", fileSet -> fileSet.models().keySet());
        }
        return new RequestClass(
                root.get("name").asText(),
                root.get("service").asText(),
                root.get("serviceLevel").asText(),
                Tier.ofLabel(root.get("tier").asText()),
                root.get("idempotent").asBoolean(),
                optionalText(root, "model"),
                optionalText(root, "pathPrefix"));
    }

    private static ServiceLevel serviceLevel(JsonNode root) {
        return new ServiceLevel(
                root.get("name").asText(),
                root.get("firstTokenMillis").asLong(),
                root.get("betweenTokensMillis").asLong(),
                root.get("deadlineMillis").asLong(),
                root.get("longestWaitMillis").asLong(),
                root.get("weight").asInt(),
                root.get("queueCapacity").asInt());
    }

    private static Service service(JsonNode root) {
        return new Service(
                root.get("name").asText(),
                ServiceKind.valueOf(root.get("type").asText().toUpperCase(Locale.ROOT)),
                root.path("checksFencing").asBoolean(false),
                optionalText(root, "statusPath"),
                root.get("silenceMillis").asLong());
    }

    private Upstream upstream(LocatedDocument document) {
        JsonNode root = document.root();
        refer(document, "/service", FileSetBinder::serviceNames);
        return new Upstream(
                root.get("name").asText(),
                root.get("service").asText(),
                root.get("host").asText(),
                root.get("port").asInt(),
                root.get("dataCentre").asText(),
                root.get("concurrency").asInt());
    }

    private Model model(LocatedDocument document) {
        JsonNode root = document.root();
        refer(document, "/service", FileSetBinder::serviceNames);
        return new Model(
                root.get("name").asText(),
                root.get("service").asText(),
                root.get("version").asText());
    }

    private static Limits limits(JsonNode root) {
        return new Limits(
                root.get("name").asText(),
                root.get("requestsPerSecond").asLong(),
                root.get("tokensPerSecond").asLong(),
                root.get("concurrency").asInt());
    }

    private static Retention retention(JsonNode root) {
        return new Retention(
                root.get("name").asText(),
                root.get("answersMillis").asLong(),
                root.get("answerMaxBytes").asInt());
    }

    private static Optional<String> optionalText(JsonNode root, String key) {
        return root.has(key) ? Optional.of(root.get(key).asText()) : Optional.empty();
    }
}
