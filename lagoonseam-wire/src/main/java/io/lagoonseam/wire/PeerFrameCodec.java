package io.lagoonseam.wire;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes frames as MessagePack. On the connection each frame is preceded by its length in four bytes, big-endian. */
public final class PeerFrameCodec {

    /** The version of the envelope. */
    public static final int VERSION = 1;
    /** The size of the length before each frame. */
    public static final int LENGTH_BYTES = 4;
    /** The largest frame, without its length. */
    public static final int FRAME_LIMIT_BYTES = 4 * 1024 * 1024;

    private static final int FIELDS = 7;
    private static final int ID_LIMIT_CHARACTERS = 128;

    private PeerFrameCodec() {}

    /**
     * Encodes a frame without its length.
     *
     * @param frame the frame
     * @return MessagePack
     * @throws IllegalArgumentException if the frame is over the limit
     */
    public static byte[] encode(PeerFrame frame) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(FIELDS)
                    .packInt(VERSION)
                    .packInt(frame.kind().number())
                    .packLong(frame.correlationId())
                    .packString(frame.senderId())
                    .packString(frame.receiverId())
                    .packInt(frame.messageType())
                    .packBinaryHeader(frame.payload().length)
                    .writePayload(frame.payload());
            byte[] encoded = packer.toByteArray();
            if (encoded.length > FRAME_LIMIT_BYTES) {
                throw new IllegalArgumentException("a frame of " + encoded.length + " bytes is over the limit");
            }
            return encoded;
        } catch (IOException e) {
            throw new IllegalStateException("a buffer in memory failed", e);
        }
    }

    /**
     * Decodes a frame.
     *
     * @param encoded the frame without its length
     * @return the frame
     * @throws MalformedMessageException if the bytes are not a frame of this version
     */
    public static PeerFrame decode(byte[] encoded) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(encoded)) {
            PeerFrame frame = read(unpacker, encoded.length);
            if (unpacker.hasNext()) {
                throw new MalformedMessageException("bytes follow the frame");
            }
            return frame;
        } catch (IOException | MessagePackException e) {
            throw new MalformedMessageException("not a frame: " + e.getMessage(), e);
        }
    }

    private static PeerFrame read(MessageUnpacker unpacker, int limitBytes) throws IOException {
        int fields = unpacker.unpackArrayHeader();
        if (fields != FIELDS) {
            throw new MalformedMessageException("a frame of " + fields + " fields");
        }
        int version = unpacker.unpackInt();
        if (version != VERSION) {
            throw new MalformedMessageException("version " + version + " is not known");
        }
        int kindNumber = unpacker.unpackInt();
        FrameKind kind = FrameKind.of(kindNumber)
                .orElseThrow(() -> new MalformedMessageException("kind " + kindNumber + " is not known"));
        long correlationId = unpacker.unpackLong();
        String senderId = readId(unpacker);
        String receiverId = readId(unpacker);
        int messageType = unpacker.unpackInt();
        int payloadBytes = unpacker.unpackBinaryHeader();
        if (payloadBytes < 0 || payloadBytes > limitBytes) {
            throw new MalformedMessageException("a payload of " + payloadBytes + " bytes in a smaller frame");
        }
        byte[] payload = unpacker.readPayload(payloadBytes);
        return new PeerFrame(kind, correlationId, senderId, receiverId, messageType, payload);
    }

    private static String readId(MessageUnpacker unpacker) throws IOException {
        String id = unpacker.unpackString();
        if (id.isEmpty() || id.length() > ID_LIMIT_CHARACTERS) {
            throw new MalformedMessageException("a node name of " + id.length() + " characters");
        }
        return id;
    }
}
