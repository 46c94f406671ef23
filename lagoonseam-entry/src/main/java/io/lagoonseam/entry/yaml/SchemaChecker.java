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

/** Checks documents against a JSON schema that ships with the program. */
public final class SchemaChecker {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final Pattern SECRET = Pattern.compile("(?i)secret|password|token|plain|^key$|bearer");
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
     * @return its content
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
     * @return a checker for documents of that schema
     */
    public static SchemaChecker of(JsonNode schema) {
        SchemaValidatorsConfig config =
                SchemaValidatorsConfig.builder().pathType(PathType.JSON_POINTER).build();
        return new SchemaChecker(
                schema,
                JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(schema, config));
    }

    /**
     * Reports every fault of a document.
     *
     * @param document the document
     * @param reporter receives the faults
     * @return whether there was none
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
                document.file(), document.line(key), key.isEmpty() ? "/" : key, explain(pointer, message));
    }

    private String explain(String pointer, ValidationMessage message) {
        String property = message.getProperty();
        boolean atRoot = pointer.isEmpty() && definition.has(PROPERTIES);
        if (atRoot && "additionalProperties".equals(message.getType())) {
            return unknownKey(property);
        }
        if (atRoot && "required".equals(message.getType())) {
            return "the key is missing" + rightValue(property);
        }
        String key = pointer.startsWith("/") ? pointer.substring(1) : pointer;
        return withoutPointer(message, pointer) + rightValue(key.split("/")[0]);
    }

    private String unknownKey(String property) {
        if (SECRET.matcher(property).find()) {
            return "a secret never stands in a file; 'config hash-key' makes a key and the document with its hash";
        }
        List<String> known = new ArrayList<>();
        definition.get(PROPERTIES).fieldNames().forEachRemaining(known::add);
        return "the key is not known here; known are " + String.join(", ", known);
    }

    private String rightValue(String property) {
        String description =
                definition.path(PROPERTIES).path(property).path("description").asText();
        return description.isEmpty() ? "" : "; it gives: " + description;
    }

    private static String withoutPointer(ValidationMessage message, String pointer) {
        String text = message.getMessage();
        String prefix = pointer + ": ";
        return text.startsWith(prefix) ? text.substring(prefix.length()) : text;
    }
}
