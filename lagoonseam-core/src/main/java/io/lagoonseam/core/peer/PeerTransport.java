package io.lagoonseam.core.peer;

import java.util.concurrent.CompletionStage;

/** Sends requests to other nodes and answers theirs. */
public interface PeerTransport {

    /**
     * Sends a request to a node.
     *
     * @param nodeId the receiver
     * @param messageType the number of the message's type
     * @param payload the encoded message
     * @param timeoutMillis the longest wait for the answer
     * @return the answer or why there is none; always completes normally
     */
    CompletionStage<PeerReply> request(String nodeId, int messageType, byte[] payload, long timeoutMillis);

    /**
     * Sets the handler of a type of message, replacing any before it.
     *
     * @param messageType the number of the message's type
     * @param handler what answers
     */
    void register(int messageType, PeerHandler handler);
}
