package io.lagoonseam.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Selects the log lines of one request from the logs of several nodes and prints them in time order. */
final class LogExplainer {

    private static final String STANDARD_INPUT = "-";
    private static final Set<String> COMMON_FIELDS = Set.of("time", "node", "event", "name", "level", "request");

    private final ObjectMapper json = new ObjectMapper();
    private final String id;
    private final List<JsonNode> lines = new ArrayList<>();

    LogExplainer(String id) {
        this.id = id;
    }

    /**
     * Prints the log lines of the request, ordered by time.
     *
     * @param files paths of log files, separated by commas; {@code -} is the standard input
     * @param standardInput the stream to read for {@code -}
     * @param out the stream to print to
     * @return false if no line belongs to the request
     * @throws IOException if a log cannot be read
     */
    boolean explain(String files, InputStream standardInput, PrintStream out) throws IOException {
        for (String file : files.split(",")) {
            try (InputStream in = STANDARD_INPUT.equals(file) ? standardInput : Files.newInputStream(Path.of(file))) {
                read(in);
            }
        }
        lines.sort(Comparator.comparingLong(line -> line.path("time").asLong()));
        lines.forEach(line -> out.println(format(line)));
        if (lines.isEmpty()) {
            out.println("no line names " + id);
        }
        return !lines.isEmpty();
    }

    private void read(InputStream in) throws IOException {
        BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            // Skips text before the JSON object, such as the timestamp of a log collector.
            int start = line.indexOf('{');
            if (start < 0 || !line.contains(id)) {
                continue;
            }
            JsonNode parsed = parse(line.substring(start));
            if (id.equals(parsed.path("request").asText())) {
                lines.add(parsed);
            }
        }
    }

    private JsonNode parse(String text) {
        try {
            return json.readTree(text);
        } catch (IOException e) {
            // A truncated line is not valid JSON and cannot be attributed to a request.
            return json.missingNode();
        }
    }

    private String format(JsonNode line) {
        long sinceMillis =
                line.path("time").asLong() - lines.get(0).path("time").asLong();
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                "%8d ms  %-20s %d %-16s",
                sinceMillis,
                line.path("node").asText(),
                line.path("event").asInt(),
                line.path("name").asText()));
        Iterator<Map.Entry<String, JsonNode>> fields = line.properties().iterator();
        while (fields.hasNext()) {
            Map.Entry<String, JsonNode> field = fields.next();
            if (!COMMON_FIELDS.contains(field.getKey())) {
                text.append(' ')
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
        }
        return text.toString();
    }
}
