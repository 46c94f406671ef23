package io.lagoonseam.entry.placement;

import io.lagoonseam.core.forward.WorkerDemand;
import io.lagoonseam.core.placement.PlacementDecision;

/**
 * A request that waits for the decision of a home. Exactly one of the callbacks other than {@link #onQueued} is called,
 * on the event loop.
 */
public interface PlacedRequest {

    /** Returns the name of its service. */
    String service();

    /** Returns its priority; 0 is the most urgent. */
    int priority();

    /** Returns what it asks of a worker. */
    WorkerDemand demand();

    /** Returns the tokens that its answer may have; 0 if unknown. */
    int answerTokens();

    /** Returns the time until its caller leaves, in milliseconds. */
    long leftMillis();

    /** Called when the home has no worker for the request yet and has queued it. */
    void onQueued();

    /**
     * Called when the home has found a worker.
     *
     * @param granted the decision
     * @param placement receives what becomes of the request
     */
    void onGranted(PlacementDecision.Granted granted, Placement placement);

    /**
     * Called when the home has refused the request.
     *
     * @param refused the decision
     */
    void onRefused(PlacementDecision.Refused refused);

    /** Called when no home decides in time, so that this node has to decide by itself. */
    void onUndecided();
}
