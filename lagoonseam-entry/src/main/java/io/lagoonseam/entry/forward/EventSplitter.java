package io.lagoonseam.entry.forward;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;

/**
 * Splits a stream of server-sent events into complete events and reads their ids, so that only complete events are
 * forwarded.
 */
final class EventSplitter {

    private static final byte NEW_LINE = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DATA_FIELD = "data:".getBytes(StandardCharsets.US_ASCII);

    private final long afterId;
    private Buffer buffered = Buffer.buffer();
    private int scanned;
    private int lineStart;
    private int eventStart;
    private String pendingId = "";
    private String lastId = "";
    private boolean pendingData;
    private boolean progressed;

    /** Creates a splitter for a stream that starts with its first event. */
    EventSplitter() {
        this("");
    }

    /**
     * Creates a splitter for a resumed stream.
     *
     * @param afterId the id of the last event that the caller has received, empty if it has received none; if it is a
     *     number, events whose numeric id is not greater are dropped
     */
    EventSplitter(String afterId) {
        this.afterId = parseId(afterId);
    }

    private static long parseId(String id) {
        try {
            return Long.parseLong(id);
        } catch (NumberFormatException e) {
            // ids need not be numeric; those that are not have no order to compare
            return -1;
        }
    }

    /**
     * Returns whether a stream ends before the end of its last event.
     *
     * @param stream the whole stream
     */
    static boolean endsWithinEvent(Buffer stream) {
        EventSplitter splitter = new EventSplitter();
        splitter.feed(stream);
        return splitter.rest().length() > 0;
    }

    /**
     * Adds bytes of the stream.
     *
     * @param bytes the next bytes
     * @return the events that these bytes complete, empty if they complete none
     */
    Buffer feed(Buffer bytes) {
        progressed = false;
        buffered.appendBuffer(bytes);
        int end = 0;
        for (; scanned < buffered.length(); scanned++) {
            if (buffered.getByte(scanned) != NEW_LINE) {
                continue;
            }
            int length = scanned - lineStart;
            if (length > 0 && buffered.getByte(scanned - 1) == CARRIAGE_RETURN) {
                length--;
            }
            if (length == 0) {
                end = finishEvent(scanned + 1);
            } else {
                readField(length);
            }
            lineStart = scanned + 1;
        }
        return end == 0 ? Buffer.buffer() : takeComplete(end);
    }

    /** Ends the current event and returns the offset up to which buffered bytes may be forwarded. */
    private int finishEvent(int end) {
        boolean hasContent = pendingData || !pendingId.isEmpty();
        pendingData = false;
        if (!pendingId.isEmpty()) {
            long id = parseId(pendingId);
            if (afterId >= 0 && id >= 0 && id <= afterId) {
                return dropEvent(end);
            }
            lastId = pendingId;
            pendingId = "";
        }
        progressed |= hasContent;
        eventStart = end;
        return end;
    }

    /**
     * Drops an event that the caller has already received, and returns the offset up to which buffered bytes may be
     * forwarded.
     */
    private int dropEvent(int end) {
        pendingId = "";
        buffered = buffered.getBuffer(0, eventStart).appendBuffer(buffered.getBuffer(end, buffered.length()));
        scanned = eventStart - 1;
        return eventStart;
    }

    private void readField(int length) {
        if (lineBeginsWith(ID_FIELD, length)) {
            pendingId = buffered.getString(lineStart + ID_FIELD.length, lineStart + length)
                    .trim();
        } else if (lineBeginsWith(DATA_FIELD, length)) {
            pendingData = true;
        }
    }

    private boolean lineBeginsWith(byte[] field, int length) {
        if (length <= field.length) {
            return false;
        }
        for (int index = 0; index < field.length; index++) {
            if (buffered.getByte(lineStart + index) != field[index]) {
                return false;
            }
        }
        return true;
    }

    private Buffer takeComplete(int end) {
        Buffer complete = buffered.getBuffer(0, end);
        buffered = buffered.getBuffer(end, buffered.length());
        scanned -= end;
        lineStart -= end;
        eventStart -= end;
        return complete;
    }

    /**
     * Returns whether the latest bytes completed an event with an id or data. Comments and events without either show
     * only that the connection is open.
     */
    boolean progressed() {
        return progressed;
    }

    /** Returns the bytes after the last complete event. */
    Buffer rest() {
        return buffered;
    }

    /** Returns the id of the last complete event that has an id, empty if there was none. */
    String lastId() {
        return lastId;
    }
}
