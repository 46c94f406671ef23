package io.lagoonseam.entry.forward;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;

/**
 * Finds the ends of events in a stream of server-sent events, so that only whole events are passed on, and reads their
 * ids.
 */
final class EventSplitter {

    private static final byte NEW_LINE = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private Buffer held = Buffer.buffer();
    private int scanned;
    private int lineStart;
    private int eventStart;
    private String pendingId = "";
    private String lastId = "";
    private int events;

    /**
     * Takes bytes of the stream.
     *
     * @param bytes the bytes
     * @return the whole events that they complete, empty if they complete none
     */
    Buffer feed(Buffer bytes) {
        held.appendBuffer(bytes);
        int end = 0;
        for (; scanned < held.length(); scanned++) {
            if (held.getByte(scanned) != NEW_LINE) {
                continue;
            }
            int length = scanned - lineStart;
            if (length > 0 && held.getByte(scanned - 1) == CARRIAGE_RETURN) {
                length--;
            }
            if (length == 0) {
                end = scanned + 1;
                finishEvent(end);
            } else {
                readLine(length);
            }
            lineStart = scanned + 1;
        }
        return end == 0 ? Buffer.buffer() : take(end);
    }

    private void finishEvent(int end) {
        if (end - eventStart > 2) {
            events++;
        }
        if (!pendingId.isEmpty()) {
            lastId = pendingId;
            pendingId = "";
        }
        eventStart = end;
    }

    private void readLine(int length) {
        if (length <= ID_FIELD.length) {
            return;
        }
        for (int index = 0; index < ID_FIELD.length; index++) {
            if (held.getByte(lineStart + index) != ID_FIELD[index]) {
                return;
            }
        }
        pendingId =
                held.getString(lineStart + ID_FIELD.length, lineStart + length).trim();
    }

    private Buffer take(int end) {
        Buffer whole = held.getBuffer(0, end);
        held = held.getBuffer(end, held.length());
        scanned -= end;
        lineStart -= end;
        eventStart -= end;
        return whole;
    }

    /** Returns what has come after the last whole event. */
    Buffer rest() {
        return held;
    }

    /** Returns the id of the last whole event, empty before the first one that has an id. */
    String lastId() {
        return lastId;
    }

    /** Returns the whole events. */
    int events() {
        return events;
    }
}
