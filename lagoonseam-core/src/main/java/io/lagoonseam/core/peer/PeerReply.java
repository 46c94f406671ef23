package io.lagoonseam.core.peer;

/** Outcome of a request to another node. */
public sealed interface PeerReply permits PeerReply.Answered, PeerReply.NotSent, PeerReply.Unknown {

    /**
     * The node answered.
     *
     * @param payload the encoded answer
     */
    record Answered(byte[] payload) implements PeerReply {}

    /**
     * No byte of the request was sent, or the node refused it before handling it.
     *
     * @param reason the cause as a readable text
     */
    record NotSent(String reason) implements PeerReply {}

    /**
     * The request was sent but no answer was received. The node may have handled it.
     *
     * @param reason the cause as a readable text
     */
    record Unknown(String reason) implements PeerReply {}
}
