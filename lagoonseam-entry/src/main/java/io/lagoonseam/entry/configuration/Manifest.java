package io.lagoonseam.entry.configuration;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Names the parts of the generation that is current.
 *
 * @param generation its number
 * @param author who applied it
 * @param reason why
 * @param appliedAtMillis when, in milliseconds since the epoch
 * @param token the writer's own token, by which a lost answer is settled
 * @param parts the files and their digests
 */
public record Manifest(
        long generation, String author, String reason, long appliedAtMillis, String token, List<Part> parts) {

    /** Copies the list. */
    public Manifest {
        parts = List.copyOf(parts);
    }

    /**
     * One file of the set.
     *
     * @param name its name
     * @param digest the SHA-256 of its content, which names its object
     */
    public record Part(String name, String digest) {}

    /**
     * Reads a manifest.
     *
     * @param value its JSON
     * @return the manifest
     */
    public static Manifest parse(byte[] value) {
        JsonObject json = new JsonObject(new String(value, StandardCharsets.UTF_8));
        JsonArray list = json.getJsonArray("parts");
        List<Part> parts = new ArrayList<>();
        for (int index = 0; index < list.size(); index++) {
            JsonObject part = list.getJsonObject(index);
            parts.add(new Part(part.getString("name"), part.getString("digest")));
        }
        return new Manifest(
                json.getLong("generation"),
                json.getString("author"),
                json.getString("reason"),
                json.getLong("appliedAtMillis"),
                json.getString("token"),
                parts);
    }

    /**
     * Writes the manifest.
     *
     * @return its JSON
     */
    public byte[] encode() {
        JsonArray list = new JsonArray();
        for (Part part : parts) {
            list.add(new JsonObject().put("name", part.name()).put("digest", part.digest()));
        }
        return new JsonObject()
                .put("generation", generation)
                .put("author", author)
                .put("reason", reason)
                .put("appliedAtMillis", appliedAtMillis)
                .put("token", token)
                .put("parts", list)
                .encode()
                .getBytes(StandardCharsets.UTF_8);
    }
}
