package io.lagoonseam.core.membership;

/** Turns messages of membership into bytes and back. */
public interface MembershipCodec {

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the bytes
     */
    byte[] encode(MembershipMessage message);

    /**
     * Decodes a message.
     *
     * @param encoded the bytes
     * @return the message
     * @throws RuntimeException if the bytes are not a message
     */
    MembershipMessage decode(byte[] encoded);
}
