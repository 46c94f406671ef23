package io.lagoonseam.wire;

/**
 * One message between nodes.
 *
 * @param kind what it is
 * @param correlationId the number that an answer shares with its request, unique on a connection and side
 * @param senderId the node that sent it
 * @param receiverId the node that it is for
 * @param messageType the number of the payload's type, of {@link MessageTypes}
 * @param payload the encoded message
 */
public record PeerFrame(
        FrameKind kind, long correlationId, String senderId, String receiverId, int messageType, byte[] payload) {

    /**
     * Makes the answer to this request.
     *
     * @param answerKind the kind of the answer
     * @param answer the encoded answer
     * @return the frame to send back
     */
    public PeerFrame reply(FrameKind answerKind, byte[] answer) {
        return new PeerFrame(answerKind, correlationId, receiverId, senderId, messageType, answer);
    }
}
