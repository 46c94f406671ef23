package io.lagoonseam.wire;

/**
 * A frame with one message between nodes.
 *
 * @param kind the kind of the frame
 * @param correlationId the number that an answer shares with its request; unique among the requests that one side of a
 *     connection sends
 * @param senderId the name of the node that sent the frame
 * @param receiverId the name of the node that the frame is for
 * @param messageType the type of the payload, a constant of {@link MessageTypes}
 * @param payload the encoded message
 */
public record PeerFrame(
        FrameKind kind, long correlationId, String senderId, String receiverId, int messageType, byte[] payload) {

    /**
     * Creates the answer to this request.
     *
     * @param answerKind the kind of the answer
     * @param answer the encoded answer
     * @return the frame to send back
     */
    public PeerFrame reply(FrameKind answerKind, byte[] answer) {
        return new PeerFrame(answerKind, correlationId, receiverId, senderId, messageType, answer);
    }
}
