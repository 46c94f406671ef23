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

/**
 * One open connection to another node, which carries requests in both directions. Not thread-safe: used only on the
 * event loop of the transport.
 */
final class PeerConnection {

    private static final int MAX_PENDING_REQUESTS = 10_000;
    private static final int WRITE_QUEUE_LIMIT_BYTES = 16 * 1024 * 1024;

    /** Receives the requests and state changes of connections, and provides sequence numbers and the time. */
    interface Owner {

        void onRequest(PeerConnection connection, PeerFrame frame);

        void onMalformedFrame(PeerConnection connection, String reason);

        void onClosed(PeerConnection connection);

        long nextSequenceNumber();

        long nowMillis();
    }

    private final NetSocket socket;
    private final Owner owner;
    private final PeerMetrics metrics;
    private final String selfId;
    private final Optional<PeerAddress> dialledAddress;
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private final RecordParser parser;
    private final long sequenceNumber;
    private String peerId;
    private boolean readingLength = true;
    private boolean closed;
    private boolean checkingLiveness;
    private long lastCorrelationId;
    private long lastReceivedMillis = Long.MIN_VALUE;

    PeerConnection(
            NetSocket socket,
            String selfId,
            String peerId,
            Optional<PeerAddress> dialledAddress,
            Owner owner,
            PeerMetrics metrics) {
        this.socket = socket;
        this.selfId = selfId;
        this.peerId = peerId;
        this.dialledAddress = dialledAddress;
        this.owner = owner;
        this.metrics = metrics;
        this.sequenceNumber = owner.nextSequenceNumber();
        this.parser = RecordParser.newFixed(PeerFrameCodec.LENGTH_BYTES, this::handleRecord);
        metrics.connectionOpened();
        socket.setWriteQueueMaxSize(WRITE_QUEUE_LIMIT_BYTES);
        socket.handler(parser::handle);
        socket.exceptionHandler(failure -> close("connection failed: " + failure.getMessage()));
        socket.closeHandler(nothing -> close("connection closed"));
    }

    /** Returns the id of the node at the other end, empty until the first frame of an accepted connection. */
    String peerId() {
        return peerId;
    }

    /** Returns the sequence number of this connection; a higher number means that it was opened later. */
    long sequenceNumber() {
        return sequenceNumber;
    }

    /** Returns the address that this node connected to, or empty if the other node opened the connection. */
    Optional<PeerAddress> dialledAddress() {
        return dialledAddress;
    }

    boolean closed() {
        return closed;
    }

    /** Returns whether a frame was received at or after the given monotonic time in milliseconds. */
    boolean receivedSince(long millis) {
        return lastReceivedMillis >= millis;
    }

    boolean hasReceivedFrame() {
        return lastReceivedMillis != Long.MIN_VALUE;
    }

    NetSocket socket() {
        return socket;
    }

    /** Returns whether an echo request is in progress that checks whether the connection is alive. */
    boolean checkingLiveness() {
        return checkingLiveness;
    }

    void checkingLiveness(boolean value) {
        checkingLiveness = value;
    }

    private void handleRecord(Buffer buffer) {
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
            owner.onMalformedFrame(this, "invalid frame length of " + lengthBytes + " bytes");
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
            owner.onMalformedFrame(this, e.getMessage());
            return;
        }
        if (!peerId.isEmpty() && !peerId.equals(frame.senderId())) {
            owner.onMalformedFrame(
                    this, "frame with sender " + frame.senderId() + " on the connection of node " + peerId);
            return;
        }
        peerId = frame.senderId();
        lastReceivedMillis = owner.nowMillis();
        metrics.frameReceived(encoded.length + PeerFrameCodec.LENGTH_BYTES);
        if (frame.kind() == FrameKind.REQUEST) {
            owner.onRequest(this, frame);
            return;
        }
        PendingRequest request = pending.remove(frame.correlationId());
        if (request != null) {
            request.completeWith(frame);
        }
    }

    /** Sends a request; fails it as not sent if the connection is closed or congested. */
    void request(PendingRequest request) {
        if (pending.size() >= MAX_PENDING_REQUESTS) {
            removeCompleted();
        }
        if (closed || socket.writeQueueFull() || pending.size() >= MAX_PENDING_REQUESTS) {
            request.fail("the connection to " + peerId + " is closed or congested");
            return;
        }
        lastCorrelationId++;
        pending.put(lastCorrelationId, request);
        request.markSent();
        write(new PeerFrame(
                FrameKind.REQUEST, lastCorrelationId, selfId, peerId, request.messageType(), request.payload()));
    }

    /** Removes pending requests that are already completed, for example by their timeout. */
    void removeCompleted() {
        pending.values().removeIf(PendingRequest::done);
    }

    void write(PeerFrame frame) {
        if (closed) {
            return;
        }
        byte[] encoded = PeerFrameCodec.encode(frame);
        metrics.frameSent(encoded.length + PeerFrameCodec.LENGTH_BYTES);
        socket.write(Buffer.buffer(encoded.length + PeerFrameCodec.LENGTH_BYTES)
                .appendInt(encoded.length)
                .appendBytes(encoded));
    }

    /** Closes the connection and fails its pending requests with the given reason. */
    void close(String reason) {
        if (closed) {
            return;
        }
        closed = true;
        metrics.connectionClosed();
        socket.close();
        List<PendingRequest> unanswered = List.copyOf(pending.values());
        pending.clear();
        unanswered.forEach(request -> request.fail(reason));
        owner.onClosed(this);
    }
}
