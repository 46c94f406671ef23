package io.lagoonseam.bench.traffic;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The traffic that is generated for all request classes.
 *
 * @param durationMillis the time in milliseconds during which requests arrive
 * @param classes the traffic of each class
 */
public record TrafficProfile(long durationMillis, List<ClassProfile> classes) {

    /** Copies the list of classes. */
    public TrafficProfile {
        classes = List.copyOf(classes);
    }

    /**
     * Reads a profile from a YAML file.
     *
     * @param file the path of the file
     * @return the profile
     * @throws IOException if the file cannot be read
     */
    public static TrafficProfile read(Path file) throws IOException {
        JsonNode root = new ObjectMapper(new YAMLFactory()).readTree(file.toFile());
        List<ClassProfile> classes = new ArrayList<>();
        for (JsonNode item : root.get("classes")) {
            classes.add(classProfile(item));
        }
        return new TrafficProfile(root.get("durationMillis").asLong(), classes);
    }

    private static ClassProfile classProfile(JsonNode item) {
        List<String> keys = new ArrayList<>();
        item.get("keys").forEach(key -> keys.add(key.asText()));
        return new ClassProfile(
                item.get("class").asText(),
                item.get("requestsPerSecond").asDouble(),
                keys,
                item.path("model").asText(""),
                item.path("path").asText(""),
                item.path("promptChars").asInt(0),
                item.path("maxTokens").asInt(Integer.MAX_VALUE),
                item.path("keyed").asBoolean(false));
    }
}
