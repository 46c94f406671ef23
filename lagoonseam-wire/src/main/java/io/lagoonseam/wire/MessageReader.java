package io.lagoonseam.wire;

import io.lagoonseam.core.ratelimit.LimitReport;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the fields of one message in their order. Malformed messages and unsupported versions cause an
 * {@link IllegalArgumentException}.
 */
final class MessageReader {

    private final byte[] payload;
    private final MessageUnpacker unpacker;

    MessageReader(byte[] payload, int version) {
        this.payload = payload;
        this.unpacker = MessagePack.newDefaultUnpacker(payload);
        long actual = number();
        if (actual != version) {
            throw new IllegalArgumentException("message version " + actual + " is not supported");
        }
    }

    /** Reads one field; fails if the message is malformed. */
    @FunctionalInterface
    private interface FieldReader<T> {
        T read() throws IOException;
    }

    private <T> T read(FieldReader<T> reader) {
        try {
            return reader.read();
        } catch (IOException | MessagePackException e) {
            throw new IllegalArgumentException("malformed message", e);
        }
    }

    /** Checks a size that was read against the length of the payload, before memory is allocated for it. */
    private int checkedSize(int size) {
        if (size < 0 || size > payload.length) {
            throw new IllegalArgumentException("malformed message: size " + size);
        }
        return size;
    }

    /** Returns whether fields are left, which nodes of an earlier version do not send. */
    boolean hasMore() {
        return read(unpacker::hasNext);
    }

    long number() {
        return read(unpacker::unpackLong);
    }

    LimitReport limit() {
        return read(() -> LimitReportCodec.unpack(unpacker));
    }

    boolean flag() {
        return read(unpacker::unpackBoolean);
    }

    byte[] binary() {
        return read(() -> unpacker.readPayload(checkedSize(unpacker.unpackBinaryHeader())));
    }

    String text() {
        return read(unpacker::unpackString);
    }

    /** Reads the number of items, then the fields of each. */
    <T> List<T> items(Function<MessageReader, T> itemReader) {
        int size = checkedSize(read(unpacker::unpackArrayHeader));
        List<T> items = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            items.add(itemReader.apply(this));
        }
        return items;
    }

    /** Reads the ordinal of a constant. */
    <T> T constant(T[] constants) {
        long ordinal = number();
        if (ordinal < 0 || ordinal >= constants.length) {
            throw new IllegalArgumentException("malformed message: constant " + ordinal);
        }
        return constants[(int) ordinal];
    }

    List<String> list() {
        return read(() -> {
            int size = checkedSize(unpacker.unpackArrayHeader());
            List<String> values = new ArrayList<>();
            for (int index = 0; index < size; index++) {
                values.add(unpacker.unpackString());
            }
            return values;
        });
    }

    Map<String, String> map() {
        return read(() -> {
            int size = checkedSize(unpacker.unpackMapHeader());
            Map<String, String> values = new HashMap<>();
            for (int index = 0; index < size; index++) {
                String key = unpacker.unpackString();
                values.put(key, unpacker.unpackString());
            }
            return values;
        });
    }

    Map<String, Long> counts() {
        return read(() -> {
            int size = checkedSize(unpacker.unpackMapHeader());
            Map<String, Long> values = new HashMap<>();
            for (int index = 0; index < size; index++) {
                String key = unpacker.unpackString();
                values.put(key, unpacker.unpackLong());
            }
            return values;
        });
    }
}
