package io.lagoonseam.wire;

import io.lagoonseam.core.forward.OutcomeCount;
import io.lagoonseam.core.forward.WorkerLoad;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Messages between nodes that forward requests. */
public final class ForwardMessages {

    private static final int VERSION = 2;

    private ForwardMessages() {}

    /**
     * What a node has at one worker.
     *
     * @param inFlight its requests there
     * @param pendingTokens prompt tokens of these that the worker has not read yet
     */
    public record Count(int inFlight, long pendingTokens) {}

    /**
     * What a node tells of itself.
     *
     * @param configurationVersion the version of the configuration in force there, -1 for none
     * @param upstreamRevision the store's revision up to which it knows the workers, -1 for none
     * @param counts what it has in flight, by worker; workers that are not named keep their count
     * @param parts hashes of the shared prompt parts that workers have read for it since it last told, by worker
     * @param outcomes what came of its latest attempts, by worker; empty in rounds that do not tell them
     * @param loads requests of all nodes as workers told this node lately, by worker
     */
    public record State(
            long configurationVersion,
            long upstreamRevision,
            Map<String, Count> counts,
            Map<String, List<Long>> parts,
            Map<String, OutcomeCount> outcomes,
            Map<String, WorkerLoad> loads) {

        /** Copies the maps. */
        public State {
            counts = Map.copyOf(counts);
            parts = Map.copyOf(parts);
            outcomes = Map.copyOf(outcomes);
            loads = Map.copyOf(loads);
        }

        /**
         * Adds what is not told in each round.
         *
         * @param newOutcomes what came of the latest attempts, by worker
         * @param newLoads requests of all nodes as workers told this node lately, by worker
         * @return the state with both
         */
        public State with(Map<String, OutcomeCount> newOutcomes, Map<String, WorkerLoad> newLoads) {
            return new State(configurationVersion, upstreamRevision, counts, parts, newOutcomes, newLoads);
        }
    }

    /**
     * A copy of an object of the store.
     *
     * @param name its name
     * @param revision the revision of its last change
     * @param content its content as it lies in the store
     */
    public record Copy(String name, long revision, byte[] content) {}

    /**
     * A copy of what a node knows of the store.
     *
     * @param configurationVersion the version of the configuration, -1 for none
     * @param configuration the objects of the configuration
     * @param upstreamRevision the revision up to which the workers are known, -1 for none
     * @param upstreams the records of the workers
     */
    public record Snapshot(
            long configurationVersion, List<Copy> configuration, long upstreamRevision, List<Copy> upstreams) {

        /** Copies the lists. */
        public Snapshot {
            configuration = List.copyOf(configuration);
            upstreams = List.copyOf(upstreams);
        }
    }

    /** Writes the fields of a message. */
    @FunctionalInterface
    private interface Writer {
        void write(MessageBufferPacker packer) throws IOException;
    }

    /** Reads the fields of a message. */
    @FunctionalInterface
    private interface Reader<T> {
        T read(MessageUnpacker unpacker) throws IOException;
    }

    private static byte[] pack(Writer writer) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(VERSION);
            writer.write(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static <T> T unpack(byte[] payload, Reader<T> reader) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
            int version = unpacker.unpackInt();
            if (version != VERSION) {
                throw new MalformedMessageException("message version " + version + " is not known");
            }
            return reader.read(unpacker);
        } catch (IOException | MessagePackException e) {
            throw new MalformedMessageException("malformed message", e);
        }
    }

    /**
     * Encodes a state.
     *
     * @param state the state
     * @return MessagePack
     */
    public static byte[] encode(State state) {
        return pack(packer -> {
            packer.packLong(state.configurationVersion())
                    .packLong(state.upstreamRevision())
                    .packMapHeader(state.counts().size());
            for (Map.Entry<String, Count> entry : state.counts().entrySet()) {
                packer.packString(entry.getKey())
                        .packInt(entry.getValue().inFlight())
                        .packLong(entry.getValue().pendingTokens());
            }
            packer.packMapHeader(state.parts().size());
            for (Map.Entry<String, List<Long>> entry : state.parts().entrySet()) {
                packer.packString(entry.getKey())
                        .packArrayHeader(entry.getValue().size());
                for (long part : entry.getValue()) {
                    packer.packLong(part);
                }
            }
            packer.packMapHeader(state.outcomes().size());
            for (Map.Entry<String, OutcomeCount> entry : state.outcomes().entrySet()) {
                packer.packString(entry.getKey())
                        .packInt(entry.getValue().outcomes())
                        .packInt(entry.getValue().failures());
            }
            packer.packMapHeader(state.loads().size());
            for (Map.Entry<String, WorkerLoad> entry : state.loads().entrySet()) {
                packer.packString(entry.getKey())
                        .packInt(entry.getValue().running())
                        .packInt(entry.getValue().waiting());
            }
        });
    }

    /**
     * Decodes a state.
     *
     * @param payload MessagePack
     * @return the state
     * @throws MalformedMessageException if it is not one
     */
    public static State decodeState(byte[] payload) {
        return unpack(payload, unpacker -> {
            long configurationVersion = unpacker.unpackLong();
            long upstreamRevision = unpacker.unpackLong();
            int size = unpacker.unpackMapHeader();
            Map<String, Count> counts = new HashMap<>();
            for (int index = 0; index < size; index++) {
                String id = unpacker.unpackString();
                counts.put(id, new Count(unpacker.unpackInt(), unpacker.unpackLong()));
            }
            Map<String, List<Long>> parts = readParts(unpacker);
            Map<String, OutcomeCount> outcomes = readOutcomes(unpacker);
            return new State(configurationVersion, upstreamRevision, counts, parts, outcomes, readLoads(unpacker));
        });
    }

    private static Map<String, WorkerLoad> readLoads(MessageUnpacker unpacker) throws IOException {
        int size = unpacker.unpackMapHeader();
        Map<String, WorkerLoad> loads = new HashMap<>();
        for (int index = 0; index < size; index++) {
            String worker = unpacker.unpackString();
            loads.put(worker, new WorkerLoad(unpacker.unpackInt(), unpacker.unpackInt()));
        }
        return loads;
    }

    private static Map<String, OutcomeCount> readOutcomes(MessageUnpacker unpacker) throws IOException {
        int size = unpacker.unpackMapHeader();
        Map<String, OutcomeCount> outcomes = new HashMap<>();
        for (int index = 0; index < size; index++) {
            String worker = unpacker.unpackString();
            outcomes.put(worker, new OutcomeCount(unpacker.unpackInt(), unpacker.unpackInt()));
        }
        return outcomes;
    }

    private static Map<String, List<Long>> readParts(MessageUnpacker unpacker) throws IOException {
        int size = unpacker.unpackMapHeader();
        Map<String, List<Long>> parts = new HashMap<>();
        for (int index = 0; index < size; index++) {
            String worker = unpacker.unpackString();
            int count = unpacker.unpackArrayHeader();
            List<Long> hashes = new ArrayList<>();
            for (int place = 0; place < count; place++) {
                hashes.add(unpacker.unpackLong());
            }
            parts.put(worker, hashes);
        }
        return parts;
    }

    /**
     * Encodes a copy of what a node knows.
     *
     * @param snapshot the copy
     * @return MessagePack
     */
    public static byte[] encode(Snapshot snapshot) {
        return pack(packer -> {
            packer.packLong(snapshot.configurationVersion());
            pack(packer, snapshot.configuration());
            packer.packLong(snapshot.upstreamRevision());
            pack(packer, snapshot.upstreams());
        });
    }

    private static void pack(MessageBufferPacker packer, List<Copy> copies) throws IOException {
        packer.packArrayHeader(copies.size());
        for (Copy copy : copies) {
            packer.packString(copy.name()).packLong(copy.revision());
            packer.packBinaryHeader(copy.content().length).writePayload(copy.content());
        }
    }

    /**
     * Decodes a copy of what a node knows.
     *
     * @param payload MessagePack
     * @return the copy
     * @throws MalformedMessageException if it is not one
     */
    public static Snapshot decodeSnapshot(byte[] payload) {
        return unpack(payload, unpacker -> {
            long configurationVersion = unpacker.unpackLong();
            List<Copy> configuration = readCopies(unpacker, payload.length);
            long upstreamRevision = unpacker.unpackLong();
            return new Snapshot(
                    configurationVersion, configuration, upstreamRevision, readCopies(unpacker, payload.length));
        });
    }

    private static List<Copy> readCopies(MessageUnpacker unpacker, int limitBytes) throws IOException {
        int size = unpacker.unpackArrayHeader();
        List<Copy> copies = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            String name = unpacker.unpackString();
            long revision = unpacker.unpackLong();
            int length = unpacker.unpackBinaryHeader();
            if (length > limitBytes) {
                throw new MalformedMessageException("content of " + length + " bytes in a smaller message");
            }
            copies.add(new Copy(name, revision, unpacker.readPayload(length)));
        }
        return copies;
    }
}
