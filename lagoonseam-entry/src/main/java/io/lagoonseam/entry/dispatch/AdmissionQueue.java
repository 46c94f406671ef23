package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.admission.AdmissionController;
import io.lagoonseam.core.admission.ClassStarvationMonitor;
import io.lagoonseam.core.admission.OfferResult;
import io.lagoonseam.core.admission.RefusedTicket;
import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.verdict.Refusal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Holds the waiting requests of one service. Applies the decisions of the admission controller, checks its invariants
 * at run time and records metrics. Not thread-safe: the caller must hold the service's lock.
 */
final class AdmissionQueue {

    private static final Set<EventCode> CAPACITY_REASONS =
            Set.of(EventCode.QUEUE_FULL, EventCode.SHED_FOR_HIGHER_TIER, EventCode.SHED_FOR_FAIR_SHARE);

    private final Map<String, QueuedRequest> waiting = new HashMap<>();
    private final AdmissionController admission;
    private final ClassStarvationMonitor starvationMonitor;
    private final InvariantMonitor invariants;
    private final RouterMetrics metrics;

    AdmissionQueue(AdmissionController admission, InvariantMonitor invariants, RouterMetrics metrics) {
        this.admission = admission;
        this.starvationMonitor = new ClassStarvationMonitor(invariants);
        this.invariants = invariants;
        this.metrics = metrics;
    }

    /** A request that was shed and is to be refused after the lock is released. */
    record ShedRequest(QueuedRequest request, Refusal refusal) {

        void refuse() {
            request.refuse(refusal);
        }
    }

    /**
     * Queues a request and returns the requests to refuse as a result: the request itself, one it displaced, or none.
     */
    List<ShedRequest> offer(QueuedRequest request, long nowMillis) {
        Ticket ticket = request.wasSent() ? request.ticket().requeued(nowMillis) : request.ticket();
        boolean canShedLowerTier = ticket.urgent() && admission.canShedForUrgent();
        OfferResult result = admission.offer(ticket);
        if (result instanceof OfferResult.Refused refused) {
            checkUrgent(ticket, refused.refusal().event(), canShedLowerTier);
            return List.of(new ShedRequest(request, refused.refusal()));
        }
        waiting.put(ticket.id(), request);
        starvationMonitor.queued(ticket, nowMillis);
        Optional<RefusedTicket> displaced = ((OfferResult.Queued) result).shed();
        displaced.ifPresent(shed -> checkUrgent(shed.ticket(), shed.refusal().event(), canShedLowerTier));
        return displaced.map(this::withdraw).map(List::of).orElseGet(List::of);
    }

    private void checkUrgent(Ticket ticket, EventCode reason, boolean canShedLowerTier) {
        boolean shedDespiteLowerTier = ticket.urgent() && canShedLowerTier && CAPACITY_REASONS.contains(reason);
        invariants.check(Invariant.URGENT_NEVER_SHED, !shedDespiteLowerTier, ticket.id() + " " + reason);
    }

    private ShedRequest withdraw(RefusedTicket shed) {
        starvationMonitor.removed(shed.ticket());
        return new ShedRequest(waiting.remove(shed.ticket().id()), shed.refusal());
    }

    /** Removes and returns the requests that have passed their deadline or longest wait. */
    List<ShedRequest> expire(long nowMillis) {
        List<ShedRequest> expired = new ArrayList<>();
        admission.expire(nowMillis).forEach(shed -> expired.add(withdraw(shed)));
        return expired;
    }

    /** The next request to serve, with its time in the queue in milliseconds. */
    record NextRequest(QueuedRequest request, Ticket ticket, long waitMillis) {}

    Optional<NextRequest> poll(long nowMillis) {
        return admission.poll(nowMillis).map(ticket -> {
            starvationMonitor.started(ticket, nowMillis);
            return new NextRequest(waiting.remove(ticket.id()), ticket, nowMillis - ticket.arrivalMillis());
        });
    }

    void started(NextRequest next, String workerName) {
        metrics.started(next.ticket(), workerName, next.waitMillis());
    }

    /** Removes a request that was cancelled or aborted; returns whether it was still waiting. */
    boolean cancel(String id) {
        QueuedRequest request = waiting.remove(id);
        if (request == null) {
            return false;
        }
        starvationMonitor.removed(request.ticket());
        return admission.cancel(id);
    }

    void progressed(String id, int tokens) {
        admission.progressed(id, tokens);
    }

    void finished(String id, int tokens, boolean complete, long nowMillis) {
        admission.finished(id, tokens, complete, nowMillis);
    }

    int size() {
        return admission.size();
    }

    /** Removes and returns all waiting requests. */
    List<QueuedRequest> clear() {
        List<QueuedRequest> removed = List.copyOf(waiting.values());
        removed.forEach(request -> cancel(request.ticket().id()));
        return removed;
    }
}
