package io.lagoonseam.core.peer;

/** Outcome of a request to another node. */
public sealed interface PeerReply permits PeerReply.Answered, PeerReply.NotSent, PeerReply.Unknown {

    /**
     * The node answered.
     *
     * @param payload the encoded reply
     */
    record Answered(byte[] payload) implements PeerReply {}

    /**
     * The node did not handle the request: no byte of it was sent, or the node refused it.
     *
     * @param reason the cause as a readable text
     */
    record NotSent(String reason) implements PeerReply {}

    /**
     * The request was sent but no reply was received. The node may have handled it.
     *
     * @param reason the cause as a readable text
     */
    record Unknown(String reason) implements PeerReply {}
}
