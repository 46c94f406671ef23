package io.lagoonseam.wire;

import io.lagoonseam.core.resume.ServiceWindow;
import io.lagoonseam.core.resume.StreamKey;
import io.lagoonseam.core.resume.StreamOrigin;
import io.lagoonseam.core.resume.VersionHistory.Versions;
import java.util.List;
import java.util.Set;

/** The messages between nodes about the software versions that began streams. Each begins with its format version. */
public final class StreamOriginMessages {

    private static final int VERSION = 1;

    private StreamOriginMessages() {}

    /**
     * What began a stream.
     *
     * @param stream the stream
     * @param origin what began it
     * @param lifetimeMillis how long it is to be remembered, in milliseconds
     */
    public record Entry(StreamKey stream, StreamOrigin origin, long lifetimeMillis) {

        private static void write(MessageWriter writer, Entry entry) {
            writer.text(entry.stream.workspace())
                    .text(entry.stream.requestId())
                    .text(entry.origin.service())
                    .text(entry.origin.softwareVersion())
                    .number(entry.lifetimeMillis);
        }

        private static Entry read(MessageReader reader) {
            return new Entry(
                    new StreamKey(reader.text(), reader.text()),
                    new StreamOrigin(reader.text(), reader.text()),
                    reader.number());
        }
    }

    /**
     * Tells what began streams; answered by an empty message. Also the answer to {@link Ask}, with one entry, or none
     * if the stream is not known.
     *
     * @param entries the streams
     */
    public record Tell(List<Entry> entries) {

        /** Copies the list. */
        public Tell {
            entries = List.copyOf(entries);
        }

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION).items(entries, Entry::write).bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static Tell decode(byte[] payload) {
            return new Tell(new MessageReader(payload, VERSION).items(Entry::read));
        }
    }

    /**
     * Asks what began a stream; answered by {@link Answer}.
     *
     * @param stream the stream
     * @param window where the stream began, for one that is not known
     * @param relayed whether the receiver asks other nodes if it does not know, since the sender knows few nodes
     */
    public record Ask(StreamKey stream, ServiceWindow window, boolean relayed) {

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION)
                    .text(stream.workspace())
                    .text(stream.requestId())
                    .text(window.route())
                    .text(window.service())
                    .number(window.windowMillis())
                    .flag(relayed)
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
            return new Ask(
                    new StreamKey(reader.text(), reader.text()),
                    new ServiceWindow(reader.text(), reader.text(), reader.number()),
                    reader.flag());
        }
    }

    /**
     * The answer to {@link Ask}.
     *
     * @param entries the stream, nothing if it is not known
     * @param versions the software versions that the service has had
     */
    public record Answer(List<Entry> entries, Versions versions) {

        /** Copies the list. */
        public Answer {
            entries = List.copyOf(entries);
        }

        /**
         * Returns a copy whose versions need not be all that the service has had.
         *
         * @return the copy
         */
        public Answer withoutAllVersions() {
            return new Answer(entries, new Versions(false, versions.versions()));
        }

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION)
                    .items(entries, Entry::write)
                    .flag(versions.complete())
                    .list(List.copyOf(versions.versions()))
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
            return new Answer(reader.items(Entry::read), new Versions(reader.flag(), Set.copyOf(reader.list())));
        }
    }
}
