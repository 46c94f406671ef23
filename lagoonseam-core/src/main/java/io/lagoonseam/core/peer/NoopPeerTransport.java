package io.lagoonseam.core.peer;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** The transport of a node that has no peers. */
public final class NoopPeerTransport implements PeerTransport {

    @Override
    public CompletionStage<PeerReply> request(String nodeId, int messageType, byte[] payload, long timeoutMillis) {
        return CompletableFuture.completedFuture(new PeerReply.NotSent("no peers"));
    }

    @Override
    public void register(int messageType, PeerHandler handler) {
        // Nothing is ever received.
    }
}
