package io.lagoonseam.wire;

import java.util.List;
import java.util.Map;

/** The messages by which entry nodes spread a configuration. Each begins with the version of its form. */
public final class ConfigurationMessages {

    private static final int VERSION = 1;

    private ConfigurationMessages() {}

    /**
     * Tells which generation is in force at the sender.
     *
     * @param generation the generation
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
         */
        public static Announcement decode(byte[] payload) {
            return new Announcement(new MessageReader(payload, VERSION).number());
        }
    }

    /**
     * Asks for what leads from the sender's generation to the receiver's.
     *
     * @param generation the sender's generation, 0 for none
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
         */
        public static Pull decode(byte[] payload) {
            return new Pull(new MessageReader(payload, VERSION).number());
        }
    }

    /**
     * Answers a pull.
     *
     * @param generation the generation that results, 0 if the sender has none
     * @param manifest the manifest as it is kept on the platform
     * @param whole whether the listing is whole rather than a difference
     * @param changed digests of parts by name
     * @param removed names of removed parts
     * @param texts the content of some parts by digest
     */
    public record Delta(
            long generation,
            byte[] manifest,
            boolean whole,
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
                    .flag(whole)
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
         */
        public static Delta decode(byte[] payload) {
            MessageReader reader = new MessageReader(payload, VERSION);
            return new Delta(
                    reader.number(), reader.binary(), reader.flag(), reader.map(), reader.list(), reader.map());
        }
    }

    /**
     * Asks for parts.
     *
     * @param digests their digests
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
         */
        public static PartsRequest decode(byte[] payload) {
            return new PartsRequest(new MessageReader(payload, VERSION).list());
        }
    }

    /**
     * Answers a request for parts, perhaps with some of them only.
     *
     * @param texts the content by digest
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
         */
        public static Parts decode(byte[] payload) {
            return new Parts(new MessageReader(payload, VERSION).map());
        }
    }

    /**
     * Reports the generation in force.
     *
     * @param generation the generation, 0 for none
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
         */
        public static Report decode(byte[] payload) {
            return new Report(new MessageReader(payload, VERSION).number());
        }
    }

    /**
     * Answers a report.
     *
     * @param generation the generation in force at the receiver, 0 for none
     * @param sighted whether the platform lately answered the receiver
     */
    public record ReportAnswer(long generation, boolean sighted) {

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION).number(generation).flag(sighted).bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @return the message
         */
        public static ReportAnswer decode(byte[] payload) {
            MessageReader reader = new MessageReader(payload, VERSION);
            return new ReportAnswer(reader.number(), reader.flag());
        }
    }
}
