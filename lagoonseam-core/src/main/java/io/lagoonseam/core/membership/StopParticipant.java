package io.lagoonseam.core.membership;

import java.util.concurrent.CompletionStage;

/** Component that hands over its responsibilities, such as a role or a journal shard, before the node stops. */
@FunctionalInterface
public interface StopParticipant {

    /**
     * Starts the hand-over. At this point the node has announced that it is leaving and takes no roles, but still
     * answers peers and serves requests.
     *
     * @return completes when the hand-over is finished
     */
    CompletionStage<Void> handOver();
}
