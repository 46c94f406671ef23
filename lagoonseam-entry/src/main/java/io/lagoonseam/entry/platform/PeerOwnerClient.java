package io.lagoonseam.entry.platform;

import io.lagoonseam.core.operation.OperationMessage;
import io.lagoonseam.core.operation.OwnerClient;
import io.lagoonseam.core.operation.ShardedOperationJournal;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.entry.peer.PeerLayer;
import io.lagoonseam.wire.MessageTypes;
import io.lagoonseam.wire.OperationMessageCodec;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Sends operation messages to the owners of journal shards over the peer layer. If a message to an owner in another
 * data centre cannot be sent, the address of the owner is read from its registration and the message is sent again.
 */
final class PeerOwnerClient implements OwnerClient {

    private final PeerLayer peers;

    PeerOwnerClient(PeerLayer peers) {
        this.peers = peers;
    }

    /** Registers the handler that passes operation messages of other nodes to the journal. */
    static void registerHandler(PeerLayer peers, ShardedOperationJournal journal) {
        peers.transport().register(MessageTypes.OPERATION, (senderId, payload) -> {
            OperationMessage message = OperationMessageCodec.decodeMessage(payload);
            return journal.handle(message).thenApply(OperationMessageCodec::encode);
        });
    }

    @Override
    public CompletionStage<ForwardResult> forward(String owner, OperationMessage message, long timeoutMillis) {
        int slash = owner.indexOf('/');
        String dataCentre = owner.substring(0, slash);
        String nodeId = owner.substring(slash + 1);
        return send(nodeId, message, timeoutMillis).thenCompose(result -> {
            boolean inOtherDataCentre =
                    !dataCentre.equals(peers.members().self().dataCentre());
            return result.sent() || !inOtherDataCentre
                    ? CompletableFuture.completedFuture(result)
                    : resolveAndSend(dataCentre, nodeId, message, timeoutMillis);
        });
    }

    private CompletionStage<ForwardResult> resolveAndSend(
            String dataCentre, String nodeId, OperationMessage message, long timeoutMillis) {
        return peers.registration().read(dataCentre, nodeId).thenCompose(found -> {
            if (found.isEmpty()) {
                return CompletableFuture.completedFuture(new ForwardResult(false, Optional.empty()));
            }
            peers.recordAddress(found.get());
            return send(nodeId, message, timeoutMillis);
        });
    }

    private CompletionStage<ForwardResult> send(String nodeId, OperationMessage message, long timeoutMillis) {
        return peers.transport()
                .request(nodeId, MessageTypes.OPERATION, OperationMessageCodec.encode(message), timeoutMillis)
                .thenApply(PeerOwnerClient::toResult);
    }

    private static ForwardResult toResult(PeerReply reply) {
        if (reply instanceof PeerReply.Answered answered) {
            return new ForwardResult(true, Optional.of(OperationMessageCodec.decodeReply(answered.payload())));
        }
        return new ForwardResult(!(reply instanceof PeerReply.NotSent), Optional.empty());
    }
}
