package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.routing.RoutingRequest;
import io.lagoonseam.core.routing.WorkerState;
import io.lagoonseam.core.verdict.Refusal;
import java.util.List;

/** Test double of a queued request that is never dispatched. */
record WaitingRequest(Ticket ticket) implements QueuedRequest {

    @Override
    public boolean wasSent() {
        return false;
    }

    @Override
    public RoutingRequest routing() {
        throw new UnsupportedOperationException("this request is never dispatched");
    }

    @Override
    public void workerSelected(List<WorkerState> workers, String chosen) {
        throw new UnsupportedOperationException("this request is never dispatched");
    }

    @Override
    public void start(Upstream worker) {
        throw new UnsupportedOperationException("this request is never dispatched");
    }

    @Override
    public void refuse(Refusal refusal) {
        // The test does not check the refusal.
    }
}
