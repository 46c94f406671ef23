package io.lagoonseam.core.operation;

import io.lagoonseam.core.membership.Member;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Asks the owners of shards at other nodes. */
@FunctionalInterface
public interface OwnerClient {

    /** Reaches nobody, for a node without peers. */
    OwnerClient NONE = (owner, message, timeoutMillis) ->
            CompletableFuture.completedFuture(new ForwardResult(false, Optional.empty()));

    /**
     * Returns the name of an owner, which says where it is.
     *
     * @param member the node
     * @return its data centre and its name
     */
    static String nameOf(Member member) {
        return member.dataCentre() + '/' + member.nodeId();
    }

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
     * @param owner the node, as {@link #nameOf} gives it
     * @param message the question
     * @param timeoutMillis the longest wait
     * @return what came of it; always completes normally
     */
    CompletionStage<ForwardResult> forward(String owner, OperationMessage message, long timeoutMillis);
}
