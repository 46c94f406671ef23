package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.routing.RoutingRequest;
import io.lagoonseam.core.routing.WorkerState;
import io.lagoonseam.core.verdict.Refusal;
import java.util.List;

/** A queued request that only waits. */
record WaitingRequest(Ticket ticket) implements QueuedRequest {

    @Override
    public boolean wasSent() {
        return false;
    }

    @Override
    public RoutingRequest routing() {
        throw new UnsupportedOperationException("the request only waits");
    }

    @Override
    public void weighed(List<WorkerState> workers, String chosen) {
        throw new UnsupportedOperationException("the request only waits");
    }

    @Override
    public void start(Upstream worker) {
        throw new UnsupportedOperationException("the request only waits");
    }

    @Override
    public void refuse(Refusal refusal) {
        // The answer is not kept.
    }
}
