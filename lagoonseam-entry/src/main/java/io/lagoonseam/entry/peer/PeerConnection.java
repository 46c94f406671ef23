package io.lagoonseam.entry.peer;

import io.lagoonseam.wire.FrameKind;
import io.lagoonseam.wire.MalformedMessageException;
import io.lagoonseam.wire.PeerFrame;
import io.lagoonseam.wire.PeerFrameCodec;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One open connection with another node, for requests of either side. Belongs to the transport's event loop. */
final class PeerConnection {

    private static final int PENDING_LIMIT = 10_000;
    private static final int QUEUE_LIMIT_BYTES = 16 * 1024 * 1024;

    /** Receives what comes on connections. */
    interface Owner {

        void requested(PeerConnection connection, PeerFrame frame);

        void malformed(PeerConnection connection, String reason);

        void closed(PeerConnection connection);

        long nextNumber();

        long nowMillis();
    }

    private final NetSocket socket;
    private final Owner owner;
    private final PeerMetrics metrics;
    private final String selfId;
    private final Optional<PeerAddress> dialled;
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private final RecordParser parser;
    private final long number;
    private String peerId;
    private boolean readingLength = true;
    private boolean closed;
    private boolean checking;
    private long lastCorrelationId;
    private long lastReceivedMillis = Long.MIN_VALUE;

    PeerConnection(
            NetSocket socket,
            String selfId,
            String peerId,
            Optional<PeerAddress> dialled,
            Owner owner,
            PeerMetrics metrics) {
        this.socket = socket;
        this.selfId = selfId;
        this.peerId = peerId;
        this.dialled = dialled;
        this.owner = owner;
        this.metrics = metrics;
        this.number = owner.nextNumber();
        this.parser = RecordParser.newFixed(PeerFrameCodec.LENGTH_BYTES, this::record);
        metrics.opened();
        socket.setWriteQueueMaxSize(QUEUE_LIMIT_BYTES);
        socket.handler(parser::handle);
        socket.exceptionHandler(failure -> close("connection failed: " + failure.getMessage()));
        socket.closeHandler(nothing -> close("connection closed"));
    }

    /** Returns the node at the other end, empty before it has said its name. */
    String peerId() {
        return peerId;
    }

    /** Returns the place of this connection in the order of their making. */
    long number() {
        return number;
    }

    Optional<PeerAddress> dialled() {
        return dialled;
    }

    boolean closed() {
        return closed;
    }

    boolean heardSince(long millis) {
        return lastReceivedMillis >= millis;
    }

    boolean hasSpoken() {
        return lastReceivedMillis != Long.MIN_VALUE;
    }

    NetSocket socket() {
        return socket;
    }

    boolean checking() {
        return checking;
    }

    void checking(boolean value) {
        checking = value;
    }

    private void record(Buffer buffer) {
        if (closed) {
            return;
        }
        if (readingLength) {
            readLength(buffer.getInt(0));
        } else {
            readingLength = true;
            parser.fixedSizeMode(PeerFrameCodec.LENGTH_BYTES);
            readFrame(buffer.getBytes());
        }
    }

    private void readLength(int lengthBytes) {
        if (lengthBytes <= 0 || lengthBytes > PeerFrameCodec.FRAME_LIMIT_BYTES) {
            owner.malformed(this, "a frame of " + lengthBytes + " bytes");
            return;
        }
        readingLength = false;
        parser.fixedSizeMode(lengthBytes);
    }

    private void readFrame(byte[] encoded) {
        PeerFrame frame;
        try {
            frame = PeerFrameCodec.decode(encoded);
        } catch (MalformedMessageException e) {
            owner.malformed(this, e.getMessage());
            return;
        }
        if (!peerId.isEmpty() && !peerId.equals(frame.senderId())) {
            owner.malformed(this, "a frame of " + frame.senderId() + " on the connection of " + peerId);
            return;
        }
        peerId = frame.senderId();
        lastReceivedMillis = owner.nowMillis();
        metrics.received(encoded.length + PeerFrameCodec.LENGTH_BYTES);
        if (frame.kind() == FrameKind.REQUEST) {
            owner.requested(this, frame);
            return;
        }
        PendingRequest request = pending.remove(frame.correlationId());
        if (request != null) {
            request.answered(frame);
        }
    }

    /** Sends a request; it ends without having been sent if the connection is congested. */
    void request(PendingRequest request) {
        if (pending.size() >= PENDING_LIMIT) {
            dropDone();
        }
        if (closed || socket.writeQueueFull() || pending.size() >= PENDING_LIMIT) {
            request.fail("the connection to " + peerId + " is closed or congested");
            return;
        }
        lastCorrelationId++;
        pending.put(lastCorrelationId, request);
        request.markSent();
        write(new PeerFrame(
                FrameKind.REQUEST, lastCorrelationId, selfId, peerId, request.messageType(), request.payload()));
    }

    /** Forgets requests that have ended, such as by their timeout. */
    void dropDone() {
        pending.values().removeIf(PendingRequest::done);
    }

    void write(PeerFrame frame) {
        if (closed) {
            return;
        }
        byte[] encoded = PeerFrameCodec.encode(frame);
        metrics.sent(encoded.length + PeerFrameCodec.LENGTH_BYTES);
        socket.write(Buffer.buffer(encoded.length + PeerFrameCodec.LENGTH_BYTES)
                .appendInt(encoded.length)
                .appendBytes(encoded));
    }

    void close(String reason) {
        if (closed) {
            return;
        }
        closed = true;
        metrics.closed();
        socket.close();
        List<PendingRequest> cut = List.copyOf(pending.values());
        pending.clear();
        cut.forEach(request -> request.fail(reason));
        owner.closed(this);
    }
}
