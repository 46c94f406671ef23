package io.lagoonseam.core.operation.internal;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The head object of a shard: its owner, the list of its sealed segments and the records of its open segment.
 *
 * @param epoch the number of takeovers of the shard so far
 * @param owner the name of the node that owns the shard
 * @param writeId the unique id of the write that created this version of the head
 * @param openNumber the number of the open segment
 * @param sealed the sealed segments, oldest first
 * @param open the encoded records of the open segment
 */
record ShardHead(long epoch, String owner, String writeId, long openNumber, List<Segment> sealed, byte[] open) {

    static final ShardHead EMPTY = new ShardHead(0, "", "", 0, List.of(), new byte[0]);

    /**
     * A sealed segment, stored as an immutable object.
     *
     * @param number the sequence number of the segment
     * @param objectName the name of its object on the platform
     * @param sealedAtMillis the wall-clock time of the sealing, in milliseconds since the epoch
     */
    record Segment(long number, String objectName, long sealedAtMillis) {}

    ShardHead {
        sealed = List.copyOf(sealed);
    }

    ShardHead withOwner(String newOwner, String newWriteId) {
        return new ShardHead(epoch + 1, newOwner, newWriteId, openNumber, sealed, open);
    }

    ShardHead withAppended(String newWriteId, byte[] records) {
        byte[] joined = new byte[open.length + records.length];
        System.arraycopy(open, 0, joined, 0, open.length);
        System.arraycopy(records, 0, joined, open.length, records.length);
        return new ShardHead(epoch, owner, newWriteId, openNumber, sealed, joined);
    }

    ShardHead withSealedSegments(List<Segment> newSealed) {
        return new ShardHead(epoch, owner, writeId, openNumber + 1, newSealed, new byte[0]);
    }

    byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(epoch);
            RecordCodec.writeText(out, owner);
            RecordCodec.writeText(out, writeId);
            out.writeLong(openNumber);
            out.writeInt(sealed.size());
            for (Segment segment : sealed) {
                out.writeLong(segment.number());
                RecordCodec.writeText(out, segment.objectName());
                out.writeLong(segment.sealedAtMillis());
            }
            out.write(open);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    static ShardHead decode(byte[] bytes) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            long epoch = in.readLong();
            String owner = RecordCodec.readText(in);
            String writeId = RecordCodec.readText(in);
            long openNumber = in.readLong();
            int count = in.readInt();
            List<Segment> sealed = new ArrayList<>();
            for (int index = 0; index < count; index++) {
                sealed.add(new Segment(in.readLong(), RecordCodec.readText(in), in.readLong()));
            }
            return new ShardHead(epoch, owner, writeId, openNumber, sealed, in.readAllBytes());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
