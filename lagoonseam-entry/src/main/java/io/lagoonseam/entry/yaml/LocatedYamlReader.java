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

/** Reads YAML text into documents that remember their lines. */
public final class LocatedYamlReader {

    private static final int FILE_LIMIT_CHARS = 32 * 1024 * 1024;
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private final YAMLFactory factory = newFactory();

    private static YAMLFactory newFactory() {
        LoaderOptions options = new LoaderOptions();
        options.setCodePointLimit(FILE_LIMIT_CHARS);
        return YAMLFactory.builder().loaderOptions(options).build();
    }

    /**
     * Reads all documents of a text.
     *
     * @param file the name to report
     * @param text the YAML text
     * @param reporter receives a fault where the text is not YAML or names a key twice
     * @return the documents before the first syntax fault
     */
    public List<LocatedDocument> read(String file, String text, ConfigurationErrorReporter reporter) {
        List<LocatedDocument> documents = new ArrayList<>();
        try (YAMLParser parser = factory.createParser(text)) {
            while (parser.nextToken() != null) {
                Map<String, Integer> lines = new HashMap<>();
                JsonNode root = value(parser, "", lines, file, reporter);
                documents.add(new LocatedDocument(file, root, lines));
            }
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            reporter.report(new ConfigurationError(file, line, "-", "not valid YAML: " + e.getOriginalMessage()));
        } catch (IOException e) {
            reporter.report(new ConfigurationError(file, 0, "-", "cannot be read: " + e.getMessage()));
        }
        return documents;
    }

    private JsonNode value(
            YAMLParser parser,
            String pointer,
            Map<String, Integer> lines,
            String file,
            ConfigurationErrorReporter reporter)
            throws IOException {
        lines.putIfAbsent(pointer, parser.currentTokenLocation().getLineNr());
        JsonToken token = parser.currentToken();
        if (token == JsonToken.START_OBJECT) {
            return object(parser, pointer, lines, file, reporter);
        }
        if (token == JsonToken.START_ARRAY) {
            return array(parser, pointer, lines, file, reporter);
        }
        return scalar(parser, token);
    }

    private ObjectNode object(
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
                reporter.report(new ConfigurationError(file, line, child, "the key stands twice; keep one"));
            }
            lines.put(child, line);
            parser.nextToken();
            node.set(name, value(parser, child, lines, file, reporter));
        }
        return node;
    }

    private ArrayNode array(
            YAMLParser parser,
            String pointer,
            Map<String, Integer> lines,
            String file,
            ConfigurationErrorReporter reporter)
            throws IOException {
        ArrayNode node = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            node.add(value(parser, pointer + "/" + node.size(), lines, file, reporter));
        }
        return node;
    }

    private static JsonNode scalar(YAMLParser parser, JsonToken token) throws IOException {
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
