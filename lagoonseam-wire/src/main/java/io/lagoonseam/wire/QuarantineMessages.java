package io.lagoonseam.wire;

import io.lagoonseam.core.quarantine.Crash;
import io.lagoonseam.core.quarantine.CrashHistory;
import io.lagoonseam.core.quarantine.DigestKey;
import io.lagoonseam.core.quarantine.Suspect;
import java.util.HashSet;
import java.util.List;

/**
 * The messages between nodes about requests that crash workers. Each begins with its format version. Times are sent as
 * ages, since the clocks of nodes differ.
 */
public final class QuarantineMessages {

    private static final int VERSION = 1;

    /** The age that stands for a time that is not known. */
    private static final long NO_AGE = -1;

    private QuarantineMessages() {}

    private static long age(long atMillis, long nowMillis) {
        return atMillis == Long.MIN_VALUE ? NO_AGE : Math.max(0, nowMillis - atMillis);
    }

    private static long time(long ageMillis, long nowMillis) {
        return ageMillis < 0 ? Long.MIN_VALUE : nowMillis - ageMillis;
    }

    /**
     * The history of a suspect.
     *
     * @param suspect the suspect
     * @param history its history
     */
    public record Entry(Suspect suspect, CrashHistory history) {}

    private static void write(MessageWriter writer, Suspect suspect) {
        writer.number(suspect.kind().ordinal()).number(suspect.digest());
    }

    private static Suspect readSuspect(MessageReader reader) {
        return new Suspect(reader.constant(Suspect.Kind.values()), reader.number());
    }

    private static void write(MessageWriter writer, Entry entry, long nowMillis) {
        write(writer, entry.suspect);
        CrashHistory history = entry.history;
        writer.items(
                        history.crashes(),
                        (to, crash) -> to.number(crash.worker())
                                .number(age(crash.atMillis(), nowMillis))
                                .number(age(crash.sentMillis(), nowMillis)))
                .items(List.copyOf(history.callers()), MessageWriter::number)
                .number(history.answer().id())
                .number(age(history.answer().beganMillis(), nowMillis))
                .flag(history.answeredBefore())
                .number(history.trial().id())
                .number(history.trial().number())
                .number(age(history.trial().atMillis(), nowMillis));
    }

    private static Entry readEntry(MessageReader reader, long nowMillis) {
        return new Entry(
                readSuspect(reader),
                new CrashHistory(
                        reader.items(from -> new Crash(
                                from.number(), time(from.number(), nowMillis), time(from.number(), nowMillis))),
                        new HashSet<>(reader.items(MessageReader::number)),
                        new CrashHistory.Answer(reader.number(), time(reader.number(), nowMillis)),
                        reader.flag(),
                        new CrashHistory.Trial(
                                reader.number(), (int) reader.number(), time(reader.number(), nowMillis))));
    }

    /**
     * Tells histories.
     *
     * @param fingerprint the fingerprint of all histories in quarantine that the sender knows
     * @param entries the histories
     */
    public record Histories(long fingerprint, List<Entry> entries) {

        /** Copies the list. */
        public Histories {
            entries = List.copyOf(entries);
        }

        /**
         * Encodes the message.
         *
         * @param nowMillis the current time on the monotonic clock of this node, in milliseconds
         * @return MessagePack
         */
        public byte[] encode(long nowMillis) {
            return new MessageWriter(VERSION)
                    .number(fingerprint)
                    .items(entries, (writer, entry) -> write(writer, entry, nowMillis))
                    .bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @param nowMillis the current time on the monotonic clock of this node, in milliseconds
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static Histories decode(byte[] payload, long nowMillis) {
            MessageReader reader = new MessageReader(payload, VERSION);
            return new Histories(reader.number(), reader.items(from -> readEntry(from, nowMillis)));
        }
    }

    /**
     * The key of digests that a node has.
     *
     * @param key the key
     * @param settled whether it is that of other nodes, as far as the node can know
     */
    public record KeyOffer(DigestKey key, boolean settled) {

        private void write(MessageWriter writer) {
            writer.number(key.seed())
                    .number(key.secretSeed())
                    .number(key.createdMillis())
                    .flag(settled);
        }

        private static KeyOffer read(MessageReader reader) {
            return new KeyOffer(new DigestKey(reader.number(), reader.number(), reader.number()), reader.flag());
        }
    }

    /**
     * Asks for the histories in quarantine, if the receiver knows others; answered by {@link SyncAnswer}.
     *
     * @param offer the key of digests of the sender
     * @param fingerprint the fingerprint of all that the sender knows
     */
    public record Sync(KeyOffer offer, long fingerprint) {

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            MessageWriter writer = new MessageWriter(VERSION);
            offer.write(writer);
            return writer.number(fingerprint).bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static Sync decode(byte[] payload) {
            MessageReader reader = new MessageReader(payload, VERSION);
            return new Sync(KeyOffer.read(reader), reader.number());
        }
    }

    /**
     * The answer to {@link Sync}.
     *
     * @param offer the key of digests of the sender
     * @param histories what it knows, without entries if the receiver knows the same
     */
    public record SyncAnswer(KeyOffer offer, Histories histories) {

        /**
         * Encodes the message.
         *
         * @param nowMillis the current time on the monotonic clock of this node, in milliseconds
         * @return MessagePack
         */
        public byte[] encode(long nowMillis) {
            MessageWriter writer = new MessageWriter(VERSION);
            offer.write(writer);
            return writer.binary(histories.encode(nowMillis)).bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @param nowMillis the current time on the monotonic clock of this node, in milliseconds
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static SyncAnswer decode(byte[] payload, long nowMillis) {
            MessageReader reader = new MessageReader(payload, VERSION);
            return new SyncAnswer(KeyOffer.read(reader), Histories.decode(reader.binary(), nowMillis));
        }
    }

    /**
     * Asks when the last whole answers to requests with some suspects began; answered by {@link Ages}.
     *
     * @param suspects the suspects
     */
    public record Ask(List<Suspect> suspects) {

        /** Copies the list. */
        public Ask {
            suspects = List.copyOf(suspects);
        }

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION)
                    .items(suspects, QuarantineMessages::write)
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
            return new Ask(new MessageReader(payload, VERSION).items(QuarantineMessages::readSuspect));
        }
    }

    /**
     * The answer to {@link Ask}.
     *
     * @param agesMillis for each suspect, how long ago the last whole answer began, in milliseconds; negative if none
     *     is known
     */
    public record Ages(List<Long> agesMillis) {

        /** Copies the list. */
        public Ages {
            agesMillis = List.copyOf(agesMillis);
        }

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION)
                    .items(agesMillis, MessageWriter::number)
                    .bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static Ages decode(byte[] payload) {
            return new Ages(new MessageReader(payload, VERSION).items(MessageReader::number));
        }
    }

    /**
     * Asks for a request to be let through; answered by {@link Decision}.
     *
     * @param suspect the suspect of the request that is in quarantine
     * @param caller a hash of its caller
     * @param alone whether no other suspect of the request is in quarantine
     */
    public record Try(Suspect suspect, long caller, boolean alone) {

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            MessageWriter writer = new MessageWriter(VERSION);
            write(writer, suspect);
            return writer.number(caller).flag(alone).bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static Try decode(byte[] payload) {
            MessageReader reader = new MessageReader(payload, VERSION);
            return new Try(readSuspect(reader), reader.number(), reader.flag());
        }
    }

    /**
     * The answer to {@link Try}.
     *
     * @param allowed whether the request may be sent once
     */
    public record Decision(boolean allowed) {

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION).flag(allowed).bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static Decision decode(byte[] payload) {
            return new Decision(new MessageReader(payload, VERSION).flag());
        }
    }
}
