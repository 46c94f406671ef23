package io.lagoonseam.wire;

import java.util.List;
import java.util.Map;

/** The messages between the node that reports usage and the nodes that count it. */
public final class UsageMessages {

    private static final int VERSION = 1;

    private UsageMessages() {}

    /**
     * Asks for counts; answered by {@link Answer}.
     *
     * @param trueMillis the true time, in milliseconds since 1970; {@link #UNKNOWN_TIME} if the holder does not know it
     * @param firstWindow the number of the first window that is asked for
     */
    public record Ask(long trueMillis, long firstWindow) {

        /** The holder does not know the time yet. */
        public static final long UNKNOWN_TIME = 0;

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION)
                    .number(trueMillis)
                    .number(firstWindow)
                    .bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static Ask decode(byte[] payload) {
            MessageReader reader = new MessageReader(payload, VERSION);
            return new Ask(reader.number(), reader.number());
        }
    }

    /**
     * The counts of one window.
     *
     * @param number the number of the window
     * @param counts the counts by workspace
     */
    public record Window(long number, Map<String, Long> counts) {

        /** Copies the map. */
        public Window {
            counts = Map.copyOf(counts);
        }
    }

    /**
     * The answer to {@link Ask}.
     *
     * @param incarnation identifies the process
     * @param wallMillis its wall clock, in milliseconds since 1970
     * @param openWindow the number of the window that it counts in now
     * @param windows its counts since its start
     */
    public record Answer(String incarnation, long wallMillis, long openWindow, List<Window> windows) {

        /** Copies the list. */
        public Answer {
            windows = List.copyOf(windows);
        }

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION)
                    .text(incarnation)
                    .number(wallMillis)
                    .number(openWindow)
                    .items(
                            windows,
                            (writer, window) -> writer.number(window.number()).counts(window.counts()))
                    .bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static Answer decode(byte[] payload) {
            MessageReader reader = new MessageReader(payload, VERSION);
            return new Answer(
                    reader.text(),
                    reader.number(),
                    reader.number(),
                    reader.items(item -> new Window(item.number(), item.counts())));
        }
    }
}
