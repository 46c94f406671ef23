package io.lagoonseam.entry.upstream;

import io.vertx.core.buffer.Buffer;

/** Parses the id and data lines of a stream of server-sent events incrementally; other lines are ignored. */
final class EventStreamParser {

    private static final String DATA = "data: ";
    private static final String ID = "id: ";

    private final EventHandler handler;
    private Buffer pending = Buffer.buffer();
    private String id;

    EventStreamParser(EventHandler handler) {
        this.handler = handler;
    }

    /** Receives each event; the id is null if the event has none. */
    @FunctionalInterface
    interface EventHandler {
        void event(String id, String data);
    }

    void accept(Buffer chunk) {
        pending.appendBuffer(chunk);
        int start = 0;
        for (int end = 0; end < pending.length(); end++) {
            if (pending.getByte(end) == '\n') {
                line(pending.getString(start, end));
                start = end + 1;
            }
        }
        pending = pending.getBuffer(start, pending.length());
    }

    private void line(String line) {
        String text = line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
        if (text.startsWith(ID)) {
            id = text.substring(ID.length());
        } else if (text.startsWith(DATA)) {
            String eventId = id;
            id = null;
            handler.event(eventId, text.substring(DATA.length()));
        }
    }
}
