package io.lagoonseam.core.membership;

import java.util.concurrent.CompletionStage;

/** A part of a node that hands something over before the node stops, such as a role or a journal shard. */
@FunctionalInterface
public interface StopParticipant {

    /**
     * Hands over. The node has announced that it leaves and takes no role any more, but still answers peers and serves
     * requests.
     *
     * @return completes when nothing is left to hand over
     */
    CompletionStage<Void> handOver();
}
