package io.lagoonseam.wire;

import io.lagoonseam.core.ratelimit.LimitReport;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes the fields of one message in their order as MessagePack, beginning with the format version. */
final class MessageWriter {

    private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

    MessageWriter(int version) {
        number(version);
    }

    /** Writes one field. No {@link IOException} is expected, since the buffer is in memory. */
    @FunctionalInterface
    private interface FieldWriter {
        void write() throws IOException;
    }

    private MessageWriter write(FieldWriter writer) {
        try {
            writer.write();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return this;
    }

    MessageWriter number(long value) {
        return write(() -> packer.packLong(value));
    }

    MessageWriter limit(LimitReport value) {
        return write(() -> LimitReportCodec.pack(packer, value));
    }

    MessageWriter flag(boolean value) {
        return write(() -> packer.packBoolean(value));
    }

    MessageWriter binary(byte[] value) {
        return write(() -> packer.packBinaryHeader(value.length).writePayload(value));
    }

    MessageWriter list(List<String> values) {
        return write(() -> {
            packer.packArrayHeader(values.size());
            for (String value : values) {
                packer.packString(value);
            }
        });
    }

    MessageWriter map(Map<String, String> values) {
        return write(() -> {
            packer.packMapHeader(values.size());
            for (Map.Entry<String, String> entry : values.entrySet()) {
                packer.packString(entry.getKey()).packString(entry.getValue());
            }
        });
    }

    MessageWriter counts(Map<String, Long> values) {
        return write(() -> {
            packer.packMapHeader(values.size());
            for (Map.Entry<String, Long> entry : values.entrySet()) {
                packer.packString(entry.getKey()).packLong(entry.getValue());
            }
        });
    }

    MessageWriter text(String value) {
        return write(() -> packer.packString(value));
    }

    /** Writes the number of items, then the fields of each. */
    <T> MessageWriter items(List<T> items, BiConsumer<MessageWriter, T> itemWriter) {
        write(() -> packer.packArrayHeader(items.size()));
        items.forEach(item -> itemWriter.accept(this, item));
        return this;
    }

    byte[] bytes() {
        return packer.toByteArray();
    }
}
