package io.lagoonseam.entry.yaml;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import io.lagoonseam.core.configuration.ConfigurationError;
import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** Validates documents against a JSON schema from the class path. */
public final class SchemaChecker {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Matches names of unknown keys that suggest a secret in plain text, for which the message explains how to hash it.
     */
    private static final Pattern SECRET_KEY_PATTERN = Pattern.compile("(?i)secret|password|token|plain|^key$|bearer");

    private static final String PROPERTIES = "properties";

    private final JsonNode definition;
    private final JsonSchema schema;

    private SchemaChecker(JsonNode definition, JsonSchema schema) {
        this.definition = definition;
        this.schema = schema;
    }

    /**
     * Reads a schema from the class path.
     *
     * @param resource the absolute name of the resource
     * @return the schema
     * @throws UncheckedIOException if the resource cannot be read
     */
    public static JsonNode readSchema(String resource) {
        try (InputStream stream = SchemaChecker.class.getResourceAsStream(resource)) {
            return MAPPER.readTree(stream);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Creates a checker.
     *
     * @param schema the schema
     * @return a checker that validates documents against the schema
     */
    public static SchemaChecker of(JsonNode schema) {
        SchemaValidatorsConfig config =
                SchemaValidatorsConfig.builder().pathType(PathType.JSON_POINTER).build();
        return new SchemaChecker(
                schema,
                JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(schema, config));
    }

    /**
     * Validates a document and reports all of its errors.
     *
     * @param document the document
     * @param reporter receives the errors
     * @return whether the document is valid
     */
    public boolean check(LocatedDocument document, ConfigurationErrorReporter reporter) {
        boolean valid = true;
        for (ValidationMessage message : schema.validate(document.root())) {
            valid = false;
            reporter.report(toError(document, message));
        }
        return valid;
    }

    private ConfigurationError toError(LocatedDocument document, ValidationMessage message) {
        String pointer = message.getInstanceLocation().toString();
        String key = message.getProperty() == null ? pointer : pointer + "/" + message.getProperty();
        return new ConfigurationError(
                document.file(), document.line(key), key.isEmpty() ? "/" : key, describe(pointer, message));
    }

    private String describe(String pointer, ValidationMessage message) {
        String property = message.getProperty();
        boolean atRoot = pointer.isEmpty() && definition.has(PROPERTIES);
        if (atRoot && "additionalProperties".equals(message.getType())) {
            return describeUnknownKey(property);
        }
        if (atRoot && "required".equals(message.getType())) {
            return "required key is missing" + describeExpectedValue(property);
        }
        String key = pointer.startsWith("/") ? pointer.substring(1) : pointer;
        return withoutPointer(message, pointer) + describeExpectedValue(key.split("/")[0]);
    }

    private String describeUnknownKey(String property) {
        if (SECRET_KEY_PATTERN.matcher(property).find()) {
            return "secrets are not allowed in files; run 'config hash-key' to create a key and the document with its hash";
        }
        List<String> knownKeys = new ArrayList<>();
        definition.get(PROPERTIES).fieldNames().forEachRemaining(knownKeys::add);
        return "unknown key; expected one of " + String.join(", ", knownKeys);
    }

    private String describeExpectedValue(String property) {
        String description =
                definition.path(PROPERTIES).path(property).path("description").asText();
        return description.isEmpty() ? "" : "; expected: " + description;
    }

    private static String withoutPointer(ValidationMessage message, String pointer) {
        String text = message.getMessage();
        String prefix = pointer + ": ";
        return text.startsWith(prefix) ? text.substring(prefix.length()) : text;
    }
}
