package io.lagoonseam.wire;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes the fields of one message in order. */
final class MessageWriter {

    private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

    MessageWriter(int version) {
        number(version);
    }

    /** A step that may fail in theory only, since the buffer is in memory. */
    @FunctionalInterface
    private interface Step {
        void run() throws IOException;
    }

    private MessageWriter step(Step step) {
        try {
            step.run();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return this;
    }

    MessageWriter number(long value) {
        return step(() -> packer.packLong(value));
    }

    MessageWriter flag(boolean value) {
        return step(() -> packer.packBoolean(value));
    }

    MessageWriter binary(byte[] value) {
        return step(() -> packer.packBinaryHeader(value.length).writePayload(value));
    }

    MessageWriter list(List<String> values) {
        return step(() -> {
            packer.packArrayHeader(values.size());
            for (String value : values) {
                packer.packString(value);
            }
        });
    }

    MessageWriter map(Map<String, String> values) {
        return step(() -> {
            packer.packMapHeader(values.size());
            for (Map.Entry<String, String> entry : values.entrySet()) {
                packer.packString(entry.getKey()).packString(entry.getValue());
            }
        });
    }

    MessageWriter counts(Map<String, Long> values) {
        return step(() -> {
            packer.packMapHeader(values.size());
            for (Map.Entry<String, Long> entry : values.entrySet()) {
                packer.packString(entry.getKey()).packLong(entry.getValue());
            }
        });
    }

    byte[] bytes() {
        return packer.toByteArray();
    }
}
