package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.admission.AdmissionController;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.lock.LockRank;
import io.lagoonseam.core.lock.RankedLock;
import io.lagoonseam.core.retry.RetryAfterEstimate;
import io.lagoonseam.core.routing.AttemptOutcome;
import io.lagoonseam.core.routing.CacheEvent;
import io.lagoonseam.core.routing.RoutingRequest;
import io.lagoonseam.core.routing.WorkerTable;
import io.lagoonseam.core.routing.WorkerTable.SelectionListener;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.core.verdict.Refusal;
import io.lagoonseam.entry.upstream.LoadReport;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Assigns the waiting requests of one service to its workers. One lock guards the queue and the worker table; requests
 * are started and refused after it is released. Thread-safe.
 */
final class ServiceDispatcher {

    private static final long INITIAL_RETRY_AFTER_MILLIS = 1_000;

    private final RankedLock lock = new RankedLock(LockRank.SERVICE);
    private final AdmissionQueue queue;
    private final WorkerTable workers;
    private final RetryAfterEstimate retryAfter;
    private final TimeSource time;
    private final InvariantMonitor invariants;
    private long arrivals;
    private volatile long retryAfterMillis = INITIAL_RETRY_AFTER_MILLIS;

    ServiceDispatcher(
            AdmissionController admission,
            WorkerTable workers,
            TimeSource time,
            InvariantMonitor invariants,
            RouterMetrics metrics) {
        this.queue = new AdmissionQueue(admission, invariants, metrics);
        this.workers = workers;
        this.retryAfter = new RetryAfterEstimate(time);
        this.time = time;
        this.invariants = invariants;
    }

    private record Assignment(QueuedRequest request, Upstream worker) {}

    void configure(Collection<Upstream> upstreams) {
        lock.run(() -> workers.configure(upstreams));
        dispatchQueued();
    }

    void markLeaving(Set<String> names) {
        lock.run(() -> workers.markLeaving(names));
        dispatchQueued();
    }

    void recordLoadReport(String workerName, LoadReport report) {
        lock.run(() -> {
            workers.recordLoadReport(workerName, report.running(), report.waiting());
            workers.markServing(workerName, report.serving());
        });
    }

    /** Stops sending requests to an engine that does not serve its model, until a load report says that it does. */
    void markNotServing(String workerName) {
        lock.run(() -> workers.markServing(workerName, false));
    }

    void applyCacheEvents(String workerName, List<CacheEvent> events) {
        lock.run(() -> events.forEach(event -> workers.applyCacheEvent(workerName, event)));
    }

    long lastCacheEvent(String workerName) {
        return lock.call(() -> workers.lastCacheEvent(workerName));
    }

    void observePace(String workerName, double gapMillis) {
        lock.run(() -> workers.observePace(workerName, gapMillis));
    }

    /** Applies leases on the slots of workers, valid until the given monotonic time in milliseconds. */
    void lease(Map<String, Long> slots, long untilMillis) {
        lock.run(() -> slots.forEach((worker, count) -> workers.lease(worker, count, untilMillis)));
        dispatchQueued();
    }

    /**
     * Returns the weight of this node's demand for capacity: 1 plus the number of arrivals since the last call plus the
     * number of waiting requests. Resets the arrivals.
     */
    long takeDemandWeight() {
        return lock.call(() -> {
            long weight = 1 + arrivals + queue.size();
            arrivals = 0;
            return weight;
        });
    }

    List<Upstream> upstreams() {
        return lock.call(workers::upstreams);
    }

    /**
     * Returns the delay in milliseconds after which a refused caller should retry, from the measured rate of answers.
     */
    long retryAfterMillis() {
        return retryAfterMillis;
    }

    void submit(QueuedRequest request) {
        List<AdmissionQueue.ShedRequest> shed = lock.call(() -> {
            arrivals++;
            return queue.offer(request, time.monotonicMillis());
        });
        shed.forEach(AdmissionQueue.ShedRequest::refuse);
        dispatchQueued();
    }

    /** Updates the estimated answer length of a running request with the tokens generated so far. */
    void progressed(String id, int tokens) {
        lock.run(() -> queue.progressed(id, tokens));
    }

    /** Ends a running request; the length of a complete answer updates the estimate for later requests. */
    void finished(String id, int tokens, boolean complete) {
        lock.run(() -> queue.finished(id, tokens, complete, time.monotonicMillis()));
    }

    /** Removes a request that was cancelled or aborted; returns whether it was still waiting. */
    boolean cancel(String id) {
        return lock.call(() -> queue.cancel(id));
    }

    /**
     * Retries a request that was admitted before: starts it at once if a worker has a free slot, else queues it again.
     */
    void resubmit(QueuedRequest request) {
        Optional<Upstream> worker = acquire(request.routing(), request::workerSelected);
        if (worker.isPresent()) {
            request.start(worker.get());
        } else {
            submit(request);
        }
    }

    /** Acquires a worker's slot for an attempt that bypasses the queue; empty if no worker has a free slot. */
    Optional<Upstream> acquire(RoutingRequest request, SelectionListener listener) {
        return lock.call(() -> workers.hasRoom() ? selectWorker(request, listener) : Optional.empty());
    }

    private Optional<Upstream> selectWorker(RoutingRequest request, SelectionListener listener) {
        Optional<Upstream> worker = workers.acquire(request, listener);
        worker.ifPresent(chosen ->
                invariants.check(Invariant.LEAVING_GETS_NO_WORK, !workers.isLeaving(chosen.name()), chosen.name()));
        return worker;
    }

    void release(Upstream upstream, AttemptOutcome result) {
        lock.run(() -> {
            workers.observeOutcome(upstream.name(), result);
            workers.release(upstream.name());
            if (result == AttemptOutcome.SUCCEEDED) {
                retryAfter.answered();
            }
        });
        dispatchQueued();
    }

    int waitingCount() {
        return lock.call(queue::size);
    }

    /** Refuses waiting requests that have expired and starts others while workers have free slots. */
    void dispatchQueued() {
        List<Assignment> assignments = new ArrayList<>();
        List<AdmissionQueue.ShedRequest> expired = new ArrayList<>();
        lock.run(() -> {
            long nowMillis = time.monotonicMillis();
            expired.addAll(queue.expire(nowMillis));
            assign(nowMillis, assignments);
            retryAfterMillis = retryAfter.retryAfterMillis(queue.size());
        });
        expired.forEach(AdmissionQueue.ShedRequest::refuse);
        assignments.forEach(assignment -> assignment.request().start(assignment.worker()));
    }

    private void assign(long nowMillis, List<Assignment> assignments) {
        while (workers.hasRoom()) {
            Optional<AdmissionQueue.NextRequest> next = queue.poll(nowMillis);
            if (next.isEmpty()) {
                return;
            }
            QueuedRequest request = next.get().request();
            Upstream worker =
                    selectWorker(request.routing(), request::workerSelected).orElseThrow();
            queue.started(next.get(), worker.name());
            assignments.add(new Assignment(request, worker));
        }
    }

    /** Refuses every waiting request. Called when the service was removed from the configuration. */
    void close() {
        List<QueuedRequest> removed = lock.call(queue::clear);
        removed.forEach(request ->
                request.refuse(Refusal.builder(EventCode.SERVICE_UNKNOWN, 404).build()));
    }
}
