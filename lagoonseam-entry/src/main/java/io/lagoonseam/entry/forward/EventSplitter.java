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

    private final long afterId;
    private Buffer held = Buffer.buffer();
    private int scanned;
    private int lineStart;
    private int eventStart;
    private String pendingId = "";
    private String lastId = "";

    /** Creates a splitter of a stream that begins with its first event. */
    EventSplitter() {
        this("");
    }

    /**
     * Creates a splitter of a stream that is resumed.
     *
     * @param afterId the id of the last event that the caller has; events up to it are left out
     */
    EventSplitter(String afterId) {
        this.afterId = number(afterId);
    }

    private static long number(String id) {
        try {
            return Long.parseLong(id);
        } catch (NumberFormatException e) {
            // ids need not be numbers; then there is no order to check
            return -1;
        }
    }

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
                end = finishEvent(scanned + 1);
            } else {
                readLine(length);
            }
            lineStart = scanned + 1;
        }
        return end == 0 ? Buffer.buffer() : take(end);
    }

    /** Ends an event and returns the end of what may be passed on. */
    private int finishEvent(int end) {
        if (!pendingId.isEmpty()) {
            long id = number(pendingId);
            if (afterId >= 0 && id >= 0 && id <= afterId) {
                return leaveOut(end);
            }
            lastId = pendingId;
            pendingId = "";
        }
        eventStart = end;
        return end;
    }

    /** Leaves out an event that the caller has already. */
    private int leaveOut(int end) {
        pendingId = "";
        held = held.getBuffer(0, eventStart).appendBuffer(held.getBuffer(end, held.length()));
        scanned = eventStart - 1;
        return eventStart;
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
}
