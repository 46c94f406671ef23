package io.lagoonseam.core.membership;

/** Encodes and decodes membership messages. */
public interface MembershipCodec {

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the encoded message
     */
    byte[] encode(MembershipMessage message);

    /**
     * Decodes a message.
     *
     * @param encoded the encoded message
     * @return the message
     * @throws RuntimeException if the bytes are not a valid message
     */
    MembershipMessage decode(byte[] encoded);
}
