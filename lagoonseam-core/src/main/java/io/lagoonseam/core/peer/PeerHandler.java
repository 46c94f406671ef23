package io.lagoonseam.core.peer;

import java.util.concurrent.CompletionStage;

/** Answers one type of message. */
@FunctionalInterface
public interface PeerHandler {

    /**
     * Answers a message.
     *
     * @param senderId the node that sent it
     * @param payload the encoded message
     * @return the encoded answer; completes exceptionally if the message cannot be answered
     */
    CompletionStage<byte[]> handle(String senderId, byte[] payload);
}
