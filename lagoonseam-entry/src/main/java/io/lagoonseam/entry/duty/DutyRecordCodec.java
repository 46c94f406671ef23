package io.lagoonseam.entry.duty;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lagoonseam.core.duty.DutyRecord;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/** Encodes the record of a duty as the content of an object of the store. */
final class DutyRecordCodec {

    private static final String MACHINE = "machine";
    private static final String INCARNATION = "incarnation";
    private static final String TOKEN = "token";
    private static final String PREVIOUS_MACHINE = "previous_machine";
    private static final String REPORTED = "reported";
    private static final String DECIDED = "decided";
    /** Makes each write a change, so that the revision grows with each renewal. */
    private static final String RENEWAL = "renewal";

    private DutyRecordCodec() {}

    static JsonNode encode(DutyRecord record, long renewal) {
        ObjectNode content = JsonNodeFactory.instance.objectNode();
        content.put(MACHINE, record.machine())
                .put(INCARNATION, record.incarnation())
                .put(TOKEN, record.token())
                .put(PREVIOUS_MACHINE, record.previousMachine())
                .put(REPORTED, record.reported())
                .put(RENEWAL, renewal);
        ObjectNode decided = content.putObject(DECIDED);
        record.decided().forEach((window, counts) -> {
            ObjectNode byWorkspace = decided.putObject(Long.toString(window));
            counts.forEach(byWorkspace::put);
        });
        return content;
    }

    /** Decodes a record; empty if another writer has left something else there. */
    static Optional<DutyRecord> decode(JsonNode content) {
        boolean readable = content != null
                && content.path(MACHINE).isTextual()
                && content.path(INCARNATION).isTextual()
                && content.path(TOKEN).isIntegralNumber()
                && content.path(TOKEN).canConvertToLong()
                && content.path(REPORTED).canConvertToLong()
                && content.path(DECIDED).isObject();
        if (!readable) {
            return Optional.empty();
        }
        NavigableMap<Long, Map<String, Long>> decided = new TreeMap<>();
        for (Map.Entry<String, JsonNode> window : content.path(DECIDED).properties()) {
            Map<String, Long> counts = new HashMap<>();
            window.getValue()
                    .properties()
                    .forEach(
                            count -> counts.put(count.getKey(), count.getValue().asLong()));
            try {
                decided.put(Long.parseLong(window.getKey()), counts);
            } catch (NumberFormatException e) {
                return Optional.empty();
            }
        }
        return Optional.of(new DutyRecord(
                content.path(MACHINE).asText(),
                content.path(INCARNATION).asText(),
                content.path(TOKEN).asLong(),
                content.path(PREVIOUS_MACHINE).asText(),
                content.path(REPORTED).asLong(),
                decided));
    }
}
