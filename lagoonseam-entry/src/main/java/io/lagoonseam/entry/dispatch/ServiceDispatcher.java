package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.admission.AdmissionController;
import io.lagoonseam.core.admission.OfferResult;
import io.lagoonseam.core.admission.ShedTicket;
import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.lock.LockRank;
import io.lagoonseam.core.lock.RankedLock;
import io.lagoonseam.core.retry.RetryAfterEstimate;
import io.lagoonseam.core.routing.AttemptResult;
import io.lagoonseam.core.routing.CacheEvent;
import io.lagoonseam.core.routing.RoutingRequest;
import io.lagoonseam.core.routing.WorkerTable;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.core.verdict.Refusal;
import io.lagoonseam.entry.upstream.LoadReport;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The queue and the workers of one service, under one lock. */
final class ServiceDispatcher {

    private static final long INITIAL_RETRY_AFTER_MILLIS = 1_000;

    private final RankedLock lock = new RankedLock(LockRank.SERVICE);
    private final AdmissionController admission;
    private final Map<String, QueuedRequest> waiting = new HashMap<>();
    private final WorkerTable workers;
    private final RetryAfterEstimate retryAfter;
    private final TimeSource time;
    private final InvariantMonitor invariants;
    private final RouterMetrics metrics;
    private long arrivals;
    private volatile long retryAfterMillis = INITIAL_RETRY_AFTER_MILLIS;

    ServiceDispatcher(
            AdmissionController admission,
            WorkerTable workers,
            TimeSource time,
            InvariantMonitor invariants,
            RouterMetrics metrics) {
        this.metrics = metrics;
        this.admission = admission;
        this.workers = workers;
        this.retryAfter = new RetryAfterEstimate(time);
        this.time = time;
        this.invariants = invariants;
    }

    private record Assignment(QueuedRequest request, Upstream worker) {}

    void configure(Collection<Upstream> upstreams) {
        lock.run(() -> workers.configure(upstreams));
        pump();
    }

    void markLeaving(Set<String> names) {
        lock.run(() -> workers.markLeaving(names));
        pump();
    }

    void report(String workerName, LoadReport report) {
        lock.run(() -> workers.report(workerName, report.running(), report.waiting()));
    }

    void cacheEvents(String workerName, List<CacheEvent> events) {
        lock.run(() -> events.forEach(event -> workers.cacheEvent(workerName, event)));
    }

    long lastCacheEvent(String workerName) {
        return lock.call(() -> workers.lastCacheEvent(workerName));
    }

    void observePace(String workerName, double gapMillis) {
        lock.run(() -> workers.observePace(workerName, gapMillis));
    }

    /** Takes shares of workers' capacity. */
    void lease(Map<String, Long> slots, long untilMillis) {
        lock.run(() -> slots.forEach((worker, count) -> workers.lease(worker, count, untilMillis)));
        pump();
    }

    /** Returns the demand since the last call: arrivals and what waits. */
    long takeDemand() {
        return lock.call(() -> {
            long demand = 1 + arrivals + admission.size();
            arrivals = 0;
            return demand;
        });
    }

    List<Upstream> upstreams() {
        return lock.call(workers::upstreams);
    }

    /** Returns when a refused caller should come back, from the measured pace of answers. */
    long retryAfterMillis() {
        return retryAfterMillis;
    }

    void submit(QueuedRequest request) {
        Optional<Refusal> refusal = lock.call(() -> {
            OfferResult result = admission.offer(request.ticket());
            if (result instanceof OfferResult.Refused refused) {
                return Optional.of(refused.refusal());
            }
            arrivals++;
            waiting.put(request.ticket().id(), request);
            return Optional.empty();
        });
        refusal.ifPresent(request::refuse);
        pump();
    }

    /** Withdraws a request whose caller has gone; returns whether it was still waiting. */
    boolean cancel(String id) {
        return lock.call(() -> waiting.remove(id) != null && admission.cancel(id));
    }

    /** Goes on with a request that was admitted before: at once if a worker has room, otherwise through the queue. */
    void resubmit(QueuedRequest request) {
        Optional<Upstream> worker = acquire(request.routing(), request::weighed);
        if (worker.isPresent()) {
            request.start(worker.get());
        } else {
            submit(request);
        }
    }

    /** Holds a worker for an attempt outside the queue. */
    Optional<Upstream> acquire(RoutingRequest request, WorkerTable.WeighingListener listener) {
        return lock.call(() -> workers.hasRoom() ? take(request, listener) : Optional.empty());
    }

    private Optional<Upstream> take(RoutingRequest request, WorkerTable.WeighingListener listener) {
        Optional<Upstream> worker = workers.acquire(request, listener);
        worker.ifPresent(chosen ->
                invariants.check(Invariant.LEAVING_GETS_NO_WORK, !workers.isLeaving(chosen.name()), chosen.name()));
        return worker;
    }

    void release(Upstream upstream, AttemptResult result) {
        lock.run(() -> {
            workers.observeResult(upstream.name(), result);
            workers.release(upstream.name());
            if (result == AttemptResult.SUCCEEDED) {
                retryAfter.answered();
            }
        });
        pump();
    }

    int waitingCount() {
        return lock.call(admission::size);
    }

    /** Refuses what has passed its deadline and starts what has a worker. */
    void pump() {
        List<Assignment> assignments = new ArrayList<>();
        List<ShedTicket> expired = new ArrayList<>();
        List<QueuedRequest> expiredRequests = new ArrayList<>();
        lock.run(() -> {
            long nowMillis = time.monotonicMillis();
            expired.addAll(admission.expire(nowMillis));
            expired.forEach(
                    shed -> expiredRequests.add(waiting.remove(shed.ticket().id())));
            assign(nowMillis, assignments);
            retryAfterMillis = retryAfter.retryAfterMillis(admission.size());
        });
        for (int index = 0; index < expired.size(); index++) {
            expiredRequests.get(index).refuse(expired.get(index).refusal());
        }
        assignments.forEach(assignment -> assignment.request().start(assignment.worker()));
    }

    private void assign(long nowMillis, List<Assignment> assignments) {
        while (workers.hasRoom()) {
            Optional<Ticket> next = admission.poll(nowMillis);
            if (next.isEmpty()) {
                return;
            }
            QueuedRequest request = waiting.remove(next.get().id());
            RoutingRequest routing = request.routing();
            Upstream worker = take(routing, request::weighed).orElseThrow();
            if (routing.excludedWorkers().isEmpty()) {
                metrics.started(
                        next.get(), worker.name(), nowMillis - next.get().arrivalMillis());
            }
            assignments.add(new Assignment(request, worker));
        }
    }

    /** Refuses every waiting request, for a service that was removed. */
    void close() {
        Set<QueuedRequest> removed = new HashSet<>();
        lock.run(() -> {
            removed.addAll(waiting.values());
            waiting.keySet().forEach(admission::cancel);
            waiting.clear();
        });
        removed.forEach(request ->
                request.refuse(Refusal.builder(EventCode.SERVICE_UNKNOWN, 404).build()));
    }
}
