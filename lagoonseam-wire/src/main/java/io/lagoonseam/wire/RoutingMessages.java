package io.lagoonseam.wire;

import io.lagoonseam.core.routing.CapacityDemand;
import java.util.Map;

/** The messages with which entry nodes share the capacity of workers. Each begins with its format version. */
public final class RoutingMessages {

    private static final int VERSION = 1;

    private RoutingMessages() {}

    /**
     * Requests shares of the slots of workers from their home node; answered by {@link Grants}.
     *
     * @param demand the sender's demand
     */
    public record Demand(CapacityDemand demand) {

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION)
                    .number(demand.weight())
                    .counts(demand.slots())
                    .bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static Demand decode(byte[] payload) {
            MessageReader reader = new MessageReader(payload, VERSION);
            long weight = reader.number();
            return new Demand(new CapacityDemand(weight, reader.counts()));
        }
    }

    /**
     * Grants shares of the slots of workers.
     *
     * @param slots the number of granted slots by worker name
     */
    public record Grants(Map<String, Long> slots) {

        /** Copies the map. */
        public Grants {
            slots = Map.copyOf(slots);
        }

        /**
         * Encodes the message.
         *
         * @return MessagePack
         */
        public byte[] encode() {
            return new MessageWriter(VERSION).counts(slots).bytes();
        }

        /**
         * Decodes a message.
         *
         * @param payload MessagePack
         * @return the message
         * @throws IllegalArgumentException if the bytes are not a message of this version
         */
        public static Grants decode(byte[] payload) {
            return new Grants(new MessageReader(payload, VERSION).counts());
        }
    }
}
