package io.lagoonseam.core.peer;

import java.util.concurrent.CompletionStage;

/** Handler that answers peer requests of one message type. */
@FunctionalInterface
public interface PeerHandler {

    /**
     * Handles a request from another node.
     *
     * @param senderId the id of the sending node
     * @param payload the encoded message
     * @return completes with the encoded reply, or exceptionally if the request cannot be answered
     */
    CompletionStage<byte[]> handle(String senderId, byte[] payload);
}
