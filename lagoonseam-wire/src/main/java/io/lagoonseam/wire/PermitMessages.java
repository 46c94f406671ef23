package io.lagoonseam.wire;

import io.lagoonseam.core.ratelimit.LimitReport;

/** The messages between nodes about permits for workers that limit the rate of their requests. */
public final class PermitMessages {

    private static final int VERSION = 1;

    private PermitMessages() {}

    /**
     * Asks for a permit to send one request to a worker; answered by {@link Answer}.
     *
     * @param limit the limit of the worker as the asking node knows it
     * @param number identifies the question at its node
     * @param priority the priority of the request; 0 is the most urgent
     * @param waitMillis how long the question may wait, in milliseconds
     */
    public record Ask(LimitReport limit, long number, int priority, long waitMillis) {

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION)
                    .limit(limit)
                    .number(number)
                    .number(priority)
                    .number(waitMillis)
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
            return new Ask(reader.limit(), reader.number(), (int) reader.number(), reader.number());
        }
    }

    /** What became of a question. */
    public enum Outcome {
        /** One request may be sent. */
        GRANTED,
        /** No permit was left while the question waited. */
        DENIED,
        /** The node issues no permits for this service. */
        NO_ISSUER
    }

    /**
     * The answer to {@link Ask}.
     *
     * @param outcome what became of the question
     * @param limit the limit of the worker as the answering node knows it
     */
    public record Answer(Outcome outcome, LimitReport limit) {

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION)
                    .number(outcome.ordinal())
                    .limit(limit)
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
            return new Answer(reader.constant(Outcome.values()), reader.limit());
        }
    }
}
