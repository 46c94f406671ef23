package io.lagoonseam.wire;

import io.lagoonseam.core.routing.CapacityDemand;
import java.util.Map;

/** The messages by which entry nodes share the capacity of workers. Each begins with the version of its form. */
public final class RoutingMessages {

    private static final int VERSION = 1;

    private RoutingMessages() {}

    /**
     * Asks the home of some workers for shares, answered by {@link Grants}.
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
         */
        public static Demand decode(byte[] payload) {
            MessageReader reader = new MessageReader(payload, VERSION);
            long weight = reader.number();
            return new Demand(new CapacityDemand(weight, reader.counts()));
        }
    }

    /**
     * Grants shares.
     *
     * @param slots slots by the worker's name
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
         */
        public static Grants decode(byte[] payload) {
            return new Grants(new MessageReader(payload, VERSION).counts());
        }
    }
}
