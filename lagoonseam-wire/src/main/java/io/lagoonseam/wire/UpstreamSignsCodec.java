package io.lagoonseam.wire;

import io.lagoonseam.core.membership.LeavingUpstreams;
import java.io.IOException;
import java.util.Set;
import java.util.TreeSet;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes what a reader of the VM list tells the other nodes as MessagePack. */
public final class UpstreamSignsCodec {

    private static final int FIELDS = 2;

    private UpstreamSignsCodec() {}

    /**
     * Encodes a view.
     *
     * @param view the view
     * @return the bytes
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
            throw new IllegalStateException("a buffer in memory failed", e);
        }
    }

    /**
     * Decodes a view.
     *
     * @param encoded the bytes
     * @return the view
     * @throws MalformedMessageException if the bytes are not a view
     */
    public static LeavingUpstreams.View decode(byte[] encoded) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(encoded)) {
            int fields = unpacker.unpackArrayHeader();
            if (fields != FIELDS) {
                throw new MalformedMessageException("a view of " + fields + " fields");
            }
            long version = unpacker.unpackLong();
            int count = unpacker.unpackArrayHeader();
            Set<String> names = new TreeSet<>();
            for (int index = 0; index < count; index++) {
                names.add(unpacker.unpackString());
            }
            return new LeavingUpstreams.View(version, names);
        } catch (IOException | MessagePackException e) {
            throw new MalformedMessageException("not a view: " + e.getMessage(), e);
        }
    }
}
