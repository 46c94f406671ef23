package io.lagoonseam.wire;

import java.util.List;
import java.util.Map;

/** The messages with which entry nodes distribute the configuration. Each begins with its format version. */
public final class ConfigurationMessages {

    private static final int VERSION = 1;

    private ConfigurationMessages() {}

    /**
     * Announces the generation in force at the sender.
     *
     * @param generation the number of the generation
     */
    public record Announcement(long generation) {

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION).number(generation).bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static Announcement decode(byte[] payload) {
            return new Announcement(new MessageReader(payload, VERSION).number());
        }
    }

    /**
     * Requests the changes from the sender's generation to the receiver's; answered by {@link Delta}.
     *
     * @param generation the generation in force at the sender, 0 for none
     */
    public record Pull(long generation) {

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION).number(generation).bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static Pull decode(byte[] payload) {
            return new Pull(new MessageReader(payload, VERSION).number());
        }
    }

    /**
     * Answers a {@link Pull} with the changes between two generations, or with a full listing.
     *
     * @param generation the generation that results from the changes, 0 if the sender has none
     * @param manifest the manifest as it is stored on the platform
     * @param full whether the message lists all parts rather than only the changed ones
     * @param changed the digests of the changed parts by part name; of all parts if {@code full} is true
     * @param removed the names of the removed parts
     * @param texts the content of some of the changed parts by digest
     */
    public record Delta(
            long generation,
            byte[] manifest,
            boolean full,
            Map<String, String> changed,
            List<String> removed,
            Map<String, String> texts) {

        /** Copies the collections. */
        public Delta {
            changed = Map.copyOf(changed);
            removed = List.copyOf(removed);
            texts = Map.copyOf(texts);
        }

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION)
                    .number(generation)
                    .binary(manifest)
                    .flag(full)
                    .map(changed)
                    .list(removed)
                    .map(texts)
                    .bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static Delta decode(byte[] payload) {
            MessageReader reader = new MessageReader(payload, VERSION);
            return new Delta(
                    reader.number(), reader.binary(), reader.flag(), reader.map(), reader.list(), reader.map());
        }
    }

    /**
     * Requests the content of parts; answered by {@link Parts}.
     *
     * @param digests the digests of the parts
     */
    public record PartsRequest(List<String> digests) {

        /** Copies the list. */
        public PartsRequest {
            digests = List.copyOf(digests);
        }

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION).list(digests).bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static PartsRequest decode(byte[] payload) {
            return new PartsRequest(new MessageReader(payload, VERSION).list());
        }
    }

    /**
     * Answers a {@link PartsRequest}; may contain only some of the requested parts.
     *
     * @param texts the content of the parts by digest
     */
    public record Parts(Map<String, String> texts) {

        /** Copies the map. */
        public Parts {
            texts = Map.copyOf(texts);
        }

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION).map(texts).bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static Parts decode(byte[] payload) {
            return new Parts(new MessageReader(payload, VERSION).map());
        }
    }

    /**
     * Reports the generation in force at the sender; answered by {@link ReportAnswer}.
     *
     * @param generation the number of the generation, 0 for none
     */
    public record Report(long generation) {

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION).number(generation).bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static Report decode(byte[] payload) {
            return new Report(new MessageReader(payload, VERSION).number());
        }
    }

    /**
     * Answers a {@link Report}.
     *
     * @param generation the generation in force at the receiver of the report, 0 for none
     * @param platformReachable whether the receiver of the report watches the platform and was answered by it lately
     */
    public record ReportAnswer(long generation, boolean platformReachable) {

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION)
                    .number(generation)
                    .flag(platformReachable)
                    .bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static ReportAnswer decode(byte[] payload) {
            MessageReader reader = new MessageReader(payload, VERSION);
            return new ReportAnswer(reader.number(), reader.flag());
        }
    }
}
