package io.lagoonseam.entry.forward;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.buffer.BufferInternal;

/**
 * The answer of one attempt as far as it has been received and not forwarded, and the place that a stream has reached.
 */
final class ReceivedAnswer {

    private final boolean stream;
    private Buffer body = Buffer.buffer();
    private String lastEventId;
    private String softwareVersion;
    private boolean begun;
    private EventSplitter splitter;

    /**
     * Creates an object for an answer that has not begun.
     *
     * @param stream whether the answer is a stream
     * @param lastEventId the id of the last event that the caller has received, empty if it has received none
     * @param softwareVersion the software version that began the stream, empty for a stream that begins
     */
    ReceivedAnswer(boolean stream, String lastEventId, String softwareVersion) {
        this.stream = stream;
        this.softwareVersion = softwareVersion;
        this.lastEventId = lastEventId;
        this.splitter = new EventSplitter(lastEventId);
    }

    /** Forgets what has not been forwarded, since another attempt begins. */
    void drop() {
        body = Buffer.buffer();
        splitter = new EventSplitter(lastEventId);
    }

    /** Adds bytes of an answer that is forwarded as a whole. */
    void append(Buffer bytes) {
        body.appendBuffer(bytes);
    }

    /** Adds bytes of a stream and returns the whole events that can be forwarded, which may be none. */
    Buffer split(Buffer bytes) {
        return splitter.feed(bytes);
    }

    /** Records that the events of the last call of {@link #split} are forwarded. */
    void forwarded() {
        if (!splitter.lastId().isEmpty()) {
            lastEventId = splitter.lastId();
        }
    }

    /** Returns whether the last events had an id or data. */
    boolean progressed() {
        return splitter.progressed();
    }

    /** Returns whether the first event of the stream has been received by this node. */
    boolean begun() {
        return begun;
    }

    /**
     * The first event of the stream has been received by this node.
     *
     * @param version the software version that has sent it, empty if it is not known
     */
    void begin(String version) {
        begun = true;
        if (softwareVersion.isEmpty()) {
            softwareVersion = version;
        }
    }

    /** Returns the software version that began the stream, empty before the first event, or if it is not known. */
    String softwareVersion() {
        return softwareVersion;
    }

    Buffer body() {
        return body;
    }

    /** Returns the memory that is held, in bytes. */
    long heldBytes() {
        return capacity(body) + capacity(splitter.rest());
    }

    /** Returns the memory that a buffer occupies, which is more than its length once it has grown. */
    private static long capacity(Buffer buffer) {
        return buffer instanceof BufferInternal internal && buffer.length() > 0
                ? internal.getByteBuf().capacity()
                : buffer.length();
    }

    String lastEventId() {
        return lastEventId;
    }

    /** Returns whether a stream of events, on any kind of route, has ended before the end of its last event. */
    boolean endsWithinEvent(UpstreamResponseHeaders answer) {
        if (stream && answer.succeeded()) {
            return splitter.rest().length() > 0;
        }
        return answer.eventStream() && EventSplitter.endsWithinEvent(body);
    }
}
