package io.lagoonseam.entry.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import io.lagoonseam.core.configuration.ApiKey;
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
import java.util.function.Predicate;

/** Binds checked documents to typed values and collects their references to other documents. */
final class DocumentBinder {

    private final List<BoundDocument.Reference> references = new ArrayList<>();

    /**
     * Binds a document.
     *
     * @param kind its kind
     * @param document the document, already checked against the schema of its kind
     * @return the document with its value and references
     * @throws IllegalStateException if no binding exists for the kind
     */
    static BoundDocument bind(String kind, LocatedDocument document) {
        DocumentBinder binder = new DocumentBinder();
        Predicate<FileSet.Builder> adder = binder.newAdder(kind, document);
        String name = document.root().get("name").asText();
        return new BoundDocument(kind, name, document, adder, binder.references);
    }

    private Predicate<FileSet.Builder> newAdder(String kind, LocatedDocument document) {
        switch (kind) {
            case "Workspace":
                Workspace workspace = workspace(document);
                return builder -> builder.add(workspace);
            case "Key":
                ApiKey key = key(document);
                return builder -> builder.add(key);
            case "RequestClass":
                RequestClass requestClass = requestClass(document);
                return builder -> builder.add(requestClass);
            case "ServiceLevel":
                ServiceLevel serviceLevel = serviceLevel(document.root());
                return builder -> builder.add(serviceLevel);
            case "Service":
                Service service = service(document.root());
                return builder -> builder.add(service);
            case "Upstream":
                Upstream upstream = upstream(document);
                return builder -> builder.add(upstream);
            case "Model":
                Model model = model(document);
                return builder -> builder.add(model);
            case "Limits":
                Limits limits = limits(document.root());
                return builder -> builder.add(limits);
            case "Retention":
                Retention retention = retention(document.root());
                return builder -> builder.add(retention);
            default:
                throw new IllegalStateException("no binding is implemented for documents of kind " + kind);
        }
    }

    private void addReference(LocatedDocument document, String pointer, String kind) {
        String target = document.root().at(pointer).asText();
        references.add(new BoundDocument.Reference(pointer, kind, target));
    }

    private Workspace workspace(LocatedDocument document) {
        JsonNode root = document.root();
        List<String> classes = new ArrayList<>();
        for (JsonNode item : root.get("classes")) {
            addReference(document, "/classes/" + classes.size(), "RequestClass");
            classes.add(item.asText());
        }
        String limits = root.path("limits").asText("");
        if (!limits.isEmpty()) {
            addReference(document, "/limits", "Limits");
        }
        return new Workspace(root.get("name").asText(), classes, limits);
    }

    private ApiKey key(LocatedDocument document) {
        JsonNode root = document.root();
        addReference(document, "/workspace", "Workspace");
        return new ApiKey(
                root.get("name").asText(),
                root.get("workspace").asText(),
                root.get("saltHex").asText(),
                root.get("hashHex").asText());
    }

    private RequestClass requestClass(LocatedDocument document) {
        JsonNode root = document.root();
        addReference(document, "/service", "Service");
        addReference(document, "/serviceLevel", "ServiceLevel");
        if (root.has("model")) {
            addReference(document, "/model", "Model");
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
        addReference(document, "/service", "Service");
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
        addReference(document, "/service", "Service");
        return new Model(
                root.get("name").asText(),
                root.get("service").asText(),
                root.get("version").asText(),
                root.path("leastWorkers").asInt(0),
                root.path("mostWorkers").asInt(Integer.MAX_VALUE));
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
