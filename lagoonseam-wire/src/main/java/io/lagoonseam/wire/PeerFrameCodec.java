package io.lagoonseam.wire;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes frames as MessagePack. On a connection, each frame is preceded by its length in four bytes,
 * big-endian.
 */
public final class PeerFrameCodec {

    /** The version of the frame format. */
    public static final int VERSION = 1;
    /** The size of the length field before each frame, in bytes. */
    public static final int LENGTH_BYTES = 4;
    /** The maximum size of a frame without its length field, in bytes. */
    public static final int FRAME_LIMIT_BYTES = 4 * 1024 * 1024;

    private static final int FIELDS = 7;
    private static final int MAX_ID_CHARACTERS = 128;

    private PeerFrameCodec() {}

    /**
     * Encodes a frame without its length field.
     *
     * @param frame the frame
     * @return MessagePack
     * @throws IllegalArgumentException if the encoded frame is larger than {@link #FRAME_LIMIT_BYTES}
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
                throw new IllegalArgumentException("frame of " + encoded.length + " bytes exceeds the size limit");
            }
            return encoded;
        } catch (IOException e) {
            throw new IllegalStateException("cannot write a frame to an in-memory buffer", e);
        }
    }

    /**
     * Decodes a frame.
     *
     * @param encoded the frame without its length field
     * @return the frame
     * @throws MalformedMessageException if the bytes are not a frame of this version
     */
    public static PeerFrame decode(byte[] encoded) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(encoded)) {
            PeerFrame frame = read(unpacker, encoded.length);
            if (unpacker.hasNext()) {
                throw new MalformedMessageException("trailing bytes after the frame");
            }
            return frame;
        } catch (IOException | MessagePackException e) {
            throw new MalformedMessageException("malformed frame: " + e.getMessage(), e);
        }
    }

    private static PeerFrame read(MessageUnpacker unpacker, int limitBytes) throws IOException {
        int fields = unpacker.unpackArrayHeader();
        if (fields != FIELDS) {
            throw new MalformedMessageException("frame of " + fields + " fields does not match the format");
        }
        int version = unpacker.unpackInt();
        if (version != VERSION) {
            throw new MalformedMessageException("frame version " + version + " is not supported");
        }
        int kindNumber = unpacker.unpackInt();
        FrameKind kind = FrameKind.of(kindNumber)
                .orElseThrow(() -> new MalformedMessageException("frame kind " + kindNumber + " is unknown"));
        long correlationId = unpacker.unpackLong();
        String senderId = readId(unpacker);
        String receiverId = readId(unpacker);
        int messageType = unpacker.unpackInt();
        int payloadBytes = unpacker.unpackBinaryHeader();
        if (payloadBytes < 0 || payloadBytes > limitBytes) {
            throw new MalformedMessageException("payload length of " + payloadBytes + " bytes exceeds the frame");
        }
        byte[] payload = unpacker.readPayload(payloadBytes);
        return new PeerFrame(kind, correlationId, senderId, receiverId, messageType, payload);
    }

    private static String readId(MessageUnpacker unpacker) throws IOException {
        String id = unpacker.unpackString();
        if (id.isEmpty() || id.length() > MAX_ID_CHARACTERS) {
            throw new MalformedMessageException("node name of " + id.length() + " characters is empty or too long");
        }
        return id;
    }
}
