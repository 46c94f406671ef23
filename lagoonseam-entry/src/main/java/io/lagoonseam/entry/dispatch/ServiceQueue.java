package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.admission.AdmissionController;
import io.lagoonseam.core.admission.ClassServiceWatch;
import io.lagoonseam.core.admission.OfferResult;
import io.lagoonseam.core.admission.ShedTicket;
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
 * The waiting requests of one service: what admission decides, what is checked of it at run time and what is measured.
 * Not thread-safe: the service's lock is held.
 */
final class ServiceQueue {

    private static final Set<EventCode> CAPACITY_REASONS =
            Set.of(EventCode.QUEUE_FULL, EventCode.SHED_FOR_HIGHER_TIER, EventCode.SHED_FOR_FAIR_SHARE);

    private final Map<String, QueuedRequest> waiting = new HashMap<>();
    private final AdmissionController admission;
    private final ClassServiceWatch watch;
    private final InvariantMonitor invariants;
    private final RouterMetrics metrics;

    ServiceQueue(AdmissionController admission, InvariantMonitor invariants, RouterMetrics metrics) {
        this.admission = admission;
        this.watch = new ClassServiceWatch(invariants);
        this.invariants = invariants;
        this.metrics = metrics;
    }

    /** A request that gets its final answer, once the lock is released. */
    record Shed(QueuedRequest request, Refusal refusal) {

        void answer() {
            request.refuse(refusal);
        }
    }

    /** Queues a request and returns those that are refused for it, perhaps the request itself. */
    List<Shed> offer(QueuedRequest request, long nowMillis) {
        Ticket ticket = request.wasSent() ? request.ticket().queuedAgain(nowMillis) : request.ticket();
        boolean lowerWaits = ticket.urgent() && admission.hasPlaceForUrgent();
        OfferResult result = admission.offer(ticket);
        if (result instanceof OfferResult.Refused refused) {
            checkUrgent(ticket, refused.refusal().event(), lowerWaits);
            return List.of(new Shed(request, refused.refusal()));
        }
        waiting.put(ticket.id(), request);
        watch.queued(ticket, nowMillis);
        Optional<ShedTicket> displaced = ((OfferResult.Queued) result).displaced();
        displaced.ifPresent(shed -> checkUrgent(shed.ticket(), shed.refusal().event(), lowerWaits));
        return displaced.map(this::withdraw).map(List::of).orElseGet(List::of);
    }

    private void checkUrgent(Ticket ticket, EventCode reason, boolean lowerWaits) {
        boolean shedForLower = ticket.urgent() && lowerWaits && CAPACITY_REASONS.contains(reason);
        invariants.check(Invariant.URGENT_NEVER_SHED, !shedForLower, ticket.id() + " " + reason);
    }

    private Shed withdraw(ShedTicket shed) {
        watch.removed(shed.ticket());
        return new Shed(waiting.remove(shed.ticket().id()), shed.refusal());
    }

    /** Removes the requests whose time is up. */
    List<Shed> expire(long nowMillis) {
        List<Shed> expired = new ArrayList<>();
        admission.expire(nowMillis).forEach(shed -> expired.add(withdraw(shed)));
        return expired;
    }

    /** A request that is served next, with its time in the queue. */
    record Next(QueuedRequest request, Ticket ticket, long waitMillis) {}

    Optional<Next> poll(long nowMillis) {
        return admission.poll(nowMillis).map(ticket -> {
            watch.started(ticket, nowMillis);
            return new Next(waiting.remove(ticket.id()), ticket, nowMillis - ticket.arrivalMillis());
        });
    }

    void started(Next next, String workerName) {
        metrics.started(next.ticket(), workerName, next.waitMillis());
    }

    /** Withdraws a request whose caller has gone; returns whether it was still waiting. */
    boolean cancel(String id) {
        QueuedRequest request = waiting.remove(id);
        if (request == null) {
            return false;
        }
        watch.removed(request.ticket());
        return admission.cancel(id);
    }

    void progressed(String id, int tokens) {
        admission.progressed(id, tokens);
    }

    void finished(String id, int tokens, boolean whole, long nowMillis) {
        admission.finished(id, tokens, whole, nowMillis);
    }

    int size() {
        return admission.size();
    }

    /** Withdraws all requests. */
    List<QueuedRequest> clear() {
        List<QueuedRequest> removed = List.copyOf(waiting.values());
        removed.forEach(request -> cancel(request.ticket().id()));
        return removed;
    }
}
