package io.lagoonseam.core.operation;

import io.lagoonseam.core.membership.Member;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Sends requests to the nodes that own journal shards. */
@FunctionalInterface
public interface OwnerClient {

    /** Reports every node as unreachable; for a node without peers. */
    OwnerClient NONE = (owner, message, timeoutMillis) ->
            CompletableFuture.completedFuture(new ForwardResult(false, Optional.empty()));

    /**
     * Returns the name of a node as a shard owner.
     *
     * @param member the node
     * @return the data centre and the node id, separated by a slash
     */
    static String nameOf(Member member) {
        return member.dataCentre() + '/' + member.nodeId();
    }

    /**
     * The outcome of a request to another node.
     *
     * @param sent whether the request may have reached the other node
     * @param reply the reply, empty if none was received
     */
    record ForwardResult(boolean sent, Optional<OperationReply> reply) {}

    /**
     * Sends a request to a node.
     *
     * @param owner the name of the node, see {@link #nameOf}
     * @param message the request
     * @param timeoutMillis the maximum time to wait for the reply, in milliseconds
     * @return the outcome of the request; always completes normally
     */
    CompletionStage<ForwardResult> forward(String owner, OperationMessage message, long timeoutMillis);
}
