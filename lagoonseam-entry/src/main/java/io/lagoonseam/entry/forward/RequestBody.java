package io.lagoonseam.entry.forward;

import io.netty.buffer.Unpooled;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.buffer.BufferInternal;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The body of a request, in parts that are filled one after the other. It occupies little more memory than it has
 * bytes, whatever the sizes of the pieces in which it arrives, and nothing is copied when it grows. Not thread-safe.
 */
final class RequestBody {

    /** The size of a part, in bytes; the first ones of a body of unknown length are smaller. */
    static final int PART_BYTES = 16_384;

    private static final int MIN_PART_BYTES = 1_024;

    private final long declaredBytes;
    private final List<byte[]> parts = new ArrayList<>();
    private byte[] last = new byte[0];
    private int lastBytes;
    private int length;
    private long heldBytes;

    /**
     * Creates an empty body.
     *
     * @param declaredBytes the length that the caller has stated, in bytes; negative if it has stated none
     */
    RequestBody(long declaredBytes) {
        this.declaredBytes = declaredBytes;
    }

    /** Adds a piece at the end. */
    void append(Buffer piece) {
        int from = 0;
        while (from < piece.length()) {
            if (lastBytes == last.length) {
                addPart();
            }
            int count = Math.min(piece.length() - from, last.length - lastBytes);
            piece.getBytes(from, from + count, last, lastBytes);
            from += count;
            lastBytes += count;
            length += count;
        }
    }

    private void addPart() {
        long expectedBytes = declaredBytes > length ? declaredBytes - length : Math.max(MIN_PART_BYTES, length);
        byte[] part = new byte[(int) Math.min(PART_BYTES, expectedBytes)];
        parts.add(part);
        last = part;
        lastBytes = 0;
        heldBytes += part.length;
    }

    /** Returns the length, in bytes. */
    int length() {
        return length;
    }

    /** Returns whether all bytes have arrived of a body whose length the caller has stated. */
    boolean hasDeclaredLength() {
        return declaredBytes >= 0 && length >= declaredBytes;
    }

    /** Returns the memory that the body occupies, in bytes. */
    long heldBytes() {
        return heldBytes;
    }

    /** Returns the bytes, which must not be changed, in parts. */
    List<ByteBuffer> parts() {
        List<ByteBuffer> views = new ArrayList<>(parts.size());
        int left = length;
        for (byte[] part : parts) {
            views.add(ByteBuffer.wrap(part, 0, Math.min(left, part.length)));
            left -= part.length;
        }
        return views;
    }

    /** Returns the bytes, which must not be changed, in buffers that can be sent once. */
    List<Buffer> buffers() {
        List<Buffer> buffers = new ArrayList<>(parts.size());
        parts().forEach(part -> buffers.add(BufferInternal.buffer(Unpooled.wrappedBuffer(part))));
        return buffers;
    }
}
