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

/** Finds the lines of one request in the logs of nodes and prints them in their order. */
final class LogExplainer {

    private static final String STANDARD_INPUT = "-";
    private static final Set<String> HEAD = Set.of("time", "node", "event", "name", "level", "request");

    private final ObjectMapper json = new ObjectMapper();
    private final String id;
    private final List<JsonNode> lines = new ArrayList<>();

    LogExplainer(String id) {
        this.id = id;
    }

    /** Prints the way of the request; returns false if no line names it. */
    boolean explain(String files, InputStream standardInput, PrintStream out) throws IOException {
        for (String file : files.split(",")) {
            try (InputStream in = STANDARD_INPUT.equals(file) ? standardInput : Files.newInputStream(Path.of(file))) {
                read(in);
            }
        }
        lines.sort(Comparator.comparingLong(line -> line.path("time").asLong()));
        lines.forEach(line -> out.println(describe(line)));
        if (lines.isEmpty()) {
            out.println("no line names " + id);
        }
        return !lines.isEmpty();
    }

    private void read(InputStream in) throws IOException {
        BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            // what stands before the object, such as a collector's time, is passed over
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
            // a line that was cut off says nothing of the request
            return json.missingNode();
        }
    }

    private String describe(JsonNode line) {
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
            if (!HEAD.contains(field.getKey())) {
                text.append(' ')
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
        }
        return text.toString();
    }
}
