package io.lagoonseam.core.operation;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Asks the owners of shards at other nodes. */
@FunctionalInterface
public interface OwnerClient {

    /** Reaches nobody, for a node without peers. */
    OwnerClient NONE = (nodeId, message, timeoutMillis) ->
            CompletableFuture.completedFuture(new ForwardResult(false, Optional.empty()));

    /**
     * What came of a question.
     *
     * @param sent whether it may have reached the other node
     * @param reply the answer, if one came
     */
    record ForwardResult(boolean sent, Optional<OperationReply> reply) {}

    /**
     * Asks a node.
     *
     * @param nodeId the node
     * @param message the question
     * @param timeoutMillis the longest wait
     * @return what came of it; always completes normally
     */
    CompletionStage<ForwardResult> forward(String nodeId, OperationMessage message, long timeoutMillis);
}
