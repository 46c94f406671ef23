package io.lagoonseam.entry.yaml;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import io.lagoonseam.core.configuration.ConfigurationError;
import io.lagoonseam.core.configuration.ConfigurationErrorReporter;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.yaml.snakeyaml.LoaderOptions;

/** Parses YAML text into documents with the line number of each value. */
public final class LocatedYamlReader {

    private static final int MAX_FILE_CHARS = 32 * 1024 * 1024;
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private final YAMLFactory factory = newFactory();

    private static YAMLFactory newFactory() {
        LoaderOptions options = new LoaderOptions();
        options.setCodePointLimit(MAX_FILE_CHARS);
        return YAMLFactory.builder().loaderOptions(options).build();
    }

    /**
     * Parses all documents of a text.
     *
     * @param file the file name for error reports
     * @param text the YAML text
     * @param reporter receives an error for invalid YAML and for each duplicate key
     * @return the documents before the first syntax error
     */
    public List<LocatedDocument> read(String file, String text, ConfigurationErrorReporter reporter) {
        List<LocatedDocument> documents = new ArrayList<>();
        try (YAMLParser parser = factory.createParser(text)) {
            while (parser.nextToken() != null) {
                Map<String, Integer> lines = new HashMap<>();
                JsonNode root = readValue(parser, "", lines, file, reporter);
                documents.add(new LocatedDocument(file, root, lines));
            }
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            reporter.report(new ConfigurationError(file, line, "-", "invalid YAML: " + e.getOriginalMessage()));
        } catch (IOException e) {
            reporter.report(new ConfigurationError(file, 0, "-", "cannot be read: " + e.getMessage()));
        }
        return documents;
    }

    private JsonNode readValue(
            YAMLParser parser,
            String pointer,
            Map<String, Integer> lines,
            String file,
            ConfigurationErrorReporter reporter)
            throws IOException {
        lines.putIfAbsent(pointer, parser.currentTokenLocation().getLineNr());
        JsonToken token = parser.currentToken();
        if (token == JsonToken.START_OBJECT) {
            return readObject(parser, pointer, lines, file, reporter);
        }
        if (token == JsonToken.START_ARRAY) {
            return readArray(parser, pointer, lines, file, reporter);
        }
        return readScalar(parser, token);
    }

    private ObjectNode readObject(
            YAMLParser parser,
            String pointer,
            Map<String, Integer> lines,
            String file,
            ConfigurationErrorReporter reporter)
            throws IOException {
        ObjectNode node = NODES.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            String child = pointer + "/" + name;
            int line = parser.currentTokenLocation().getLineNr();
            if (node.has(name)) {
                reporter.report(new ConfigurationError(file, line, child, "duplicate key; keep only one occurrence"));
            }
            lines.put(child, line);
            parser.nextToken();
            node.set(name, readValue(parser, child, lines, file, reporter));
        }
        return node;
    }

    private ArrayNode readArray(
            YAMLParser parser,
            String pointer,
            Map<String, Integer> lines,
            String file,
            ConfigurationErrorReporter reporter)
            throws IOException {
        ArrayNode node = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            node.add(readValue(parser, pointer + "/" + node.size(), lines, file, reporter));
        }
        return node;
    }

    private static JsonNode readScalar(YAMLParser parser, JsonToken token) throws IOException {
        return switch (token) {
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            case VALUE_NUMBER_INT -> NODES.numberNode(parser.getLongValue());
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            default -> NODES.textNode(parser.getText());
        };
    }
}
