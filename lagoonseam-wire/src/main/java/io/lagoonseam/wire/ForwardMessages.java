package io.lagoonseam.wire;

import io.lagoonseam.core.forward.OutcomeCount;
import io.lagoonseam.core.forward.WorkerLoad;
import io.lagoonseam.core.ratelimit.LimitReport;
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

/** The messages between nodes that forward requests. Each begins with its format version. */
public final class ForwardMessages {

    private static final int VERSION = 4;

    private ForwardMessages() {}

    /**
     * The load that one node has at one worker.
     *
     * @param inFlight the number of requests of the node in flight at the worker
     * @param pendingTokens the prompt tokens of these requests that the worker has not read yet
     */
    public record InFlightCount(int inFlight, long pendingTokens) {}

    /**
     * The state that a node sends to other nodes.
     *
     * @param configurationVersion the version of the configuration in force at the node, -1 for none
     * @param upstreamRevision the store's revision up to which the node knows the records of workers, -1 for none
     * @param counts the requests of the node in flight, by worker; the counts of other workers are unchanged
     * @param prefixSegments the hashes of the prefix segments that workers have read for the node since its last state
     *     message, by worker
     * @param outcomes the outcomes of the latest attempts of the node, by worker; empty in rounds that do not report
     *     them
     * @param loads the requests of all nodes at a worker, from the load reports that the node received lately, by
     *     worker
     * @param leavingWorkers the start times of incarnations of workers that have announced that they are leaving, by
     *     worker
     * @param pauseMillis the remaining time for which workers have asked for no new requests, in milliseconds, by
     *     worker
     * @param limits the rate limits of workers
     */
    public record State(
            long configurationVersion,
            long upstreamRevision,
            Map<String, InFlightCount> counts,
            Map<String, List<Long>> prefixSegments,
            Map<String, OutcomeCount> outcomes,
            Map<String, WorkerLoad> loads,
            Map<String, Long> leavingWorkers,
            Map<String, Long> pauseMillis,
            List<LimitReport> limits) {

        /** Copies the maps. */
        public State {
            counts = Map.copyOf(counts);
            prefixSegments = Map.copyOf(prefixSegments);
            outcomes = Map.copyOf(outcomes);
            loads = Map.copyOf(loads);
            leavingWorkers = Map.copyOf(leavingWorkers);
            pauseMillis = Map.copyOf(pauseMillis);
            limits = List.copyOf(limits);
        }

        /**
         * Returns a copy with the outcomes and loads, which are not reported in each round.
         *
         * @param newOutcomes the outcomes of the latest attempts, by worker
         * @param newLoads the requests of all nodes at a worker, from the load reports received lately, by worker
         * @return the state with both maps
         */
        public State withOutcomesAndLoads(Map<String, OutcomeCount> newOutcomes, Map<String, WorkerLoad> newLoads) {
            return new State(
                    configurationVersion,
                    upstreamRevision,
                    counts,
                    prefixSegments,
                    newOutcomes,
                    newLoads,
                    leavingWorkers,
                    pauseMillis,
                    limits);
        }

        /**
         * Returns a copy with the rate limits of workers, whose ages change all the time.
         *
         * @param newLimits the rate limits
         * @return the state with the limits
         */
        public State withLimits(List<LimitReport> newLimits) {
            return new State(
                    configurationVersion,
                    upstreamRevision,
                    counts,
                    prefixSegments,
                    outcomes,
                    loads,
                    leavingWorkers,
                    pauseMillis,
                    newLimits);
        }
    }

    /**
     * A copy of an object of the store.
     *
     * @param name the name of the object
     * @param revision the revision of the last change of the object
     * @param content the content of the object, as JSON
     */
    public record ObjectCopy(String name, long revision, byte[] content) {}

    /**
     * A copy of the objects of the store that a node has.
     *
     * @param configurationVersion the version of the configuration in force, -1 for none
     * @param configuration the objects of the configuration collection
     * @param upstreamRevision the store's revision up to which the records of workers are known, -1 for none
     * @param upstreams the records of the workers
     */
    public record Snapshot(
            long configurationVersion,
            List<ObjectCopy> configuration,
            long upstreamRevision,
            List<ObjectCopy> upstreams) {

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
                throw new MalformedMessageException("message version " + version + " is not supported");
            }
            return reader.read(unpacker);
        } catch (IOException | MessagePackException e) {
            throw new MalformedMessageException("malformed forwarding message", e);
        }
    }

    /**
     * Encodes a state message.
     *
     * @param state the state
     * @return MessagePack
     */
    public static byte[] encode(State state) {
        return pack(packer -> {
            packer.packLong(state.configurationVersion())
                    .packLong(state.upstreamRevision())
                    .packMapHeader(state.counts().size());
            for (Map.Entry<String, InFlightCount> entry : state.counts().entrySet()) {
                packer.packString(entry.getKey())
                        .packInt(entry.getValue().inFlight())
                        .packLong(entry.getValue().pendingTokens());
            }
            packer.packMapHeader(state.prefixSegments().size());
            for (Map.Entry<String, List<Long>> entry : state.prefixSegments().entrySet()) {
                packer.packString(entry.getKey())
                        .packArrayHeader(entry.getValue().size());
                for (long hash : entry.getValue()) {
                    packer.packLong(hash);
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
            packLongs(packer, state.leavingWorkers());
            packLongs(packer, state.pauseMillis());
            packer.packArrayHeader(state.limits().size());
            for (LimitReport limit : state.limits()) {
                LimitReportCodec.pack(packer, limit);
            }
        });
    }

    private static void packLongs(MessageBufferPacker packer, Map<String, Long> values) throws IOException {
        packer.packMapHeader(values.size());
        for (Map.Entry<String, Long> entry : values.entrySet()) {
            packer.packString(entry.getKey()).packLong(entry.getValue());
        }
    }

    private static Map<String, Long> readLongs(MessageUnpacker unpacker) throws IOException {
        int size = unpacker.unpackMapHeader();
        Map<String, Long> values = new HashMap<>();
        for (int index = 0; index < size; index++) {
            values.put(unpacker.unpackString(), unpacker.unpackLong());
        }
        return values;
    }

    /**
     * Decodes a state message.
     *
     * @param payload MessagePack
     * @return the state
     * @throws MalformedMessageException if the bytes are not a state of this version
     */
    public static State decodeState(byte[] payload) {
        return unpack(payload, unpacker -> {
            long configurationVersion = unpacker.unpackLong();
            long upstreamRevision = unpacker.unpackLong();
            int size = unpacker.unpackMapHeader();
            Map<String, InFlightCount> counts = new HashMap<>();
            for (int index = 0; index < size; index++) {
                String id = unpacker.unpackString();
                counts.put(id, new InFlightCount(unpacker.unpackInt(), unpacker.unpackLong()));
            }
            Map<String, List<Long>> prefixSegments = readPrefixSegments(unpacker);
            Map<String, OutcomeCount> outcomes = readOutcomes(unpacker);
            return new State(
                    configurationVersion,
                    upstreamRevision,
                    counts,
                    prefixSegments,
                    outcomes,
                    readLoads(unpacker),
                    readLongs(unpacker),
                    readLongs(unpacker),
                    readLimits(unpacker));
        });
    }

    private static List<LimitReport> readLimits(MessageUnpacker unpacker) throws IOException {
        int size = unpacker.unpackArrayHeader();
        List<LimitReport> limits = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            limits.add(LimitReportCodec.unpack(unpacker));
        }
        return limits;
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

    private static Map<String, List<Long>> readPrefixSegments(MessageUnpacker unpacker) throws IOException {
        int size = unpacker.unpackMapHeader();
        Map<String, List<Long>> prefixSegments = new HashMap<>();
        for (int index = 0; index < size; index++) {
            String worker = unpacker.unpackString();
            int count = unpacker.unpackArrayHeader();
            List<Long> hashes = new ArrayList<>();
            for (int hashIndex = 0; hashIndex < count; hashIndex++) {
                hashes.add(unpacker.unpackLong());
            }
            prefixSegments.put(worker, hashes);
        }
        return prefixSegments;
    }

    /**
     * Encodes a snapshot.
     *
     * @param snapshot the snapshot
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

    private static void pack(MessageBufferPacker packer, List<ObjectCopy> copies) throws IOException {
        packer.packArrayHeader(copies.size());
        for (ObjectCopy copy : copies) {
            packer.packString(copy.name()).packLong(copy.revision());
            packer.packBinaryHeader(copy.content().length).writePayload(copy.content());
        }
    }

    /**
     * Decodes a snapshot.
     *
     * @param payload MessagePack
     * @return the snapshot
     * @throws MalformedMessageException if the bytes are not a snapshot of this version
     */
    public static Snapshot decodeSnapshot(byte[] payload) {
        return unpack(payload, unpacker -> {
            long configurationVersion = unpacker.unpackLong();
            List<ObjectCopy> configuration = readCopies(unpacker, payload.length);
            long upstreamRevision = unpacker.unpackLong();
            return new Snapshot(
                    configurationVersion, configuration, upstreamRevision, readCopies(unpacker, payload.length));
        });
    }

    private static List<ObjectCopy> readCopies(MessageUnpacker unpacker, int limitBytes) throws IOException {
        int size = unpacker.unpackArrayHeader();
        List<ObjectCopy> copies = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            String name = unpacker.unpackString();
            long revision = unpacker.unpackLong();
            int length = unpacker.unpackBinaryHeader();
            if (length > limitBytes) {
                throw new MalformedMessageException("content length of " + length + " bytes exceeds the message");
            }
            copies.add(new ObjectCopy(name, revision, unpacker.readPayload(length)));
        }
        return copies;
    }
}
