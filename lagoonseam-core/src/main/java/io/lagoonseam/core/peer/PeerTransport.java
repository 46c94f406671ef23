package io.lagoonseam.core.peer;

import java.util.concurrent.CompletionStage;

/** Transport for requests and replies between entry nodes. */
public interface PeerTransport {

    /**
     * Sends a request to a node.
     *
     * @param nodeId the id of the receiving node
     * @param messageType the message type number
     * @param payload the encoded message
     * @param timeoutMillis the response timeout in milliseconds
     * @return completes with the reply or the reason why there is none; never completes exceptionally
     */
    CompletionStage<PeerReply> request(String nodeId, int messageType, byte[] payload, long timeoutMillis);

    /**
     * Sets the handler of a message type, replacing any previous handler.
     *
     * @param messageType the message type number
     * @param handler the handler that answers requests of that type
     */
    void register(int messageType, PeerHandler handler);
}
