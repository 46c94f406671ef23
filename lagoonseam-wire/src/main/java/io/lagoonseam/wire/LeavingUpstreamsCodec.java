package io.lagoonseam.wire;

import io.lagoonseam.core.membership.LeavingUpstreams;
import java.io.IOException;
import java.util.Set;
import java.util.TreeSet;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes the view that a reader of the VM list sends to the other nodes, as MessagePack. */
public final class LeavingUpstreamsCodec {

    private static final int FIELDS = 2;

    private LeavingUpstreamsCodec() {}

    /**
     * Encodes a view of the leaving upstreams.
     *
     * @param view the view
     * @return MessagePack
     */
    public static byte[] encode(LeavingUpstreams.View view) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(FIELDS)
                    .packLong(view.version())
                    .packArrayHeader(view.names().size());
            for (String name : view.names()) {
                packer.packString(name);
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("cannot write a view of leaving upstreams to an in-memory buffer", e);
        }
    }

    /**
     * Decodes a view of the leaving upstreams.
     *
     * @param encoded MessagePack
     * @return the view
     * @throws MalformedMessageException if the bytes are not an encoded view
     */
    public static LeavingUpstreams.View decode(byte[] encoded) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(encoded)) {
            int fields = unpacker.unpackArrayHeader();
            if (fields != FIELDS) {
                throw new MalformedMessageException(
                        "view of leaving upstreams with " + fields + " fields does not match the format");
            }
            long version = unpacker.unpackLong();
            int count = unpacker.unpackArrayHeader();
            Set<String> names = new TreeSet<>();
            for (int index = 0; index < count; index++) {
                names.add(unpacker.unpackString());
            }
            return new LeavingUpstreams.View(version, names);
        } catch (IOException | MessagePackException e) {
            throw new MalformedMessageException("malformed view of leaving upstreams: " + e.getMessage(), e);
        }
    }
}
