package io.lagoonseam.entry.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import io.lagoonseam.entry.yaml.SchemaChecker;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Renders the operators' reference page about the file format from the published schema. */
public final class SchemaPage {

    private static final String INTRODUCTION = """
            # Files of a file set

            A file set is a folder of files that end in `.yaml`. Each file holds YAML documents, and each document has a
            `kind` and a `name` that is free within its kind. Keys that carry a time or a size end in their unit. The
            whole set is checked before anything is applied; every fault is reported at once with file, line and key.
            Beyond the tables below: every name that a document gives must be defined in the set; no two upstreams have
            the same host and port; the model of a request class is one of its service; classes of a plain service have
            no model. A secret never stands in a file; `lagoonseam config hash-key` makes a key and its document.

            This page is written by `lagoonseam config schema --page`; the schema itself by `lagoonseam config schema`.
            """;

    private SchemaPage() {}

    /**
     * Renders the page.
     *
     * @return the page as Markdown
     */
    public static String write() {
        JsonNode kinds = SchemaChecker.readSchema(FileSetReader.SCHEMA).get("$defs");
        StringBuilder page = new StringBuilder(INTRODUCTION);
        kinds.properties().forEach(kind -> appendKind(kind, page));
        return page.toString();
    }

    private static void appendKind(Map.Entry<String, JsonNode> kind, StringBuilder page) {
        JsonNode definition = kind.getValue();
        page.append("\n## ").append(kind.getKey()).append("\n\n");
        page.append(definition.path("description").asText()).append(".\n\n");
        page.append("| key | needed | value | meaning |\n|---|---|---|---|\n");
        for (Map.Entry<String, JsonNode> key : definition.get("properties").properties()) {
            page.append("| `").append(key.getKey()).append("` | ");
            page.append(isRequired(definition, key.getKey()) ? "yes" : "no").append(" | ");
            page.append(describeValue(key.getValue())).append(" | ");
            page.append(key.getValue().path("description").asText()).append(" |\n");
        }
    }

    private static boolean isRequired(JsonNode definition, String key) {
        for (JsonNode required : definition.get("required")) {
            if (required.asText().equals(key)) {
                return true;
            }
        }
        return false;
    }

    private static String describeValue(JsonNode property) {
        if (property.has("const")) {
            return "`" + property.get("const").asText() + "`";
        }
        if (property.has("enum")) {
            List<String> values = new ArrayList<>();
            property.get("enum").forEach(value -> values.add("`" + value.asText() + "`"));
            return String.join(", ", values);
        }
        return switch (property.path("type").asText()) {
            case "integer" -> "whole number, " + property.path("minimum") + " to " + property.path("maximum");
            case "boolean" -> "`true` or `false`";
            case "array" ->
                "list of at least " + property.path("minItems").asInt(0) + ": " + describeValue(property.get("items"));
            default ->
                "text"
                        + (property.has("pattern")
                                ? " that matches `"
                                        + property.get("pattern").asText().replace("|", "\\|") + "`"
                                : "");
        };
    }
}
