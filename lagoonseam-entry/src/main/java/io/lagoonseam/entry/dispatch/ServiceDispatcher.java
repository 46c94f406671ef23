package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.admission.AdmissionController;
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
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** The queue and the workers of one service, under one lock. */
final class ServiceDispatcher {

    private static final long INITIAL_RETRY_AFTER_MILLIS = 1_000;

    private final RankedLock lock = new RankedLock(LockRank.SERVICE);
    private final ServiceQueue queue;
    private final WorkerTable workers;
    private final RetryAfterEstimate retryAfter;
    private final TimeSource time;
    private final InvariantMonitor invariants;
    private volatile long retryAfterMillis = INITIAL_RETRY_AFTER_MILLIS;

    ServiceDispatcher(
            AdmissionController admission,
            WorkerTable workers,
            TimeSource time,
            InvariantMonitor invariants,
            RouterMetrics metrics) {
        this.queue = new ServiceQueue(admission, invariants, metrics);
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

    List<Upstream> upstreams() {
        return lock.call(workers::upstreams);
    }

    /** Returns when a refused caller should come back, from the measured pace of answers. */
    long retryAfterMillis() {
        return retryAfterMillis;
    }

    void submit(QueuedRequest request) {
        List<ServiceQueue.Shed> shed = lock.call(() -> queue.offer(request, time.monotonicMillis()));
        shed.forEach(ServiceQueue.Shed::answer);
        pump();
    }

    /** Corrects what a running request is expected to cost. */
    void progressed(String id, int tokens) {
        lock.run(() -> queue.progressed(id, tokens));
    }

    /** Ends a running request. */
    void finished(String id, int tokens, boolean whole) {
        lock.run(() -> queue.finished(id, tokens, whole, time.monotonicMillis()));
    }

    /** Withdraws a request whose caller has gone; returns whether it was still waiting. */
    boolean cancel(String id) {
        return lock.call(() -> queue.cancel(id));
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
        return lock.call(queue::size);
    }

    /** Refuses what has passed its deadline and starts what has a worker. */
    void pump() {
        List<Assignment> assignments = new ArrayList<>();
        List<ServiceQueue.Shed> expired = new ArrayList<>();
        lock.run(() -> {
            long nowMillis = time.monotonicMillis();
            expired.addAll(queue.expire(nowMillis));
            assign(nowMillis, assignments);
            retryAfterMillis = retryAfter.retryAfterMillis(queue.size());
        });
        expired.forEach(ServiceQueue.Shed::answer);
        assignments.forEach(assignment -> assignment.request().start(assignment.worker()));
    }

    private void assign(long nowMillis, List<Assignment> assignments) {
        while (workers.hasRoom()) {
            Optional<ServiceQueue.Next> next = queue.poll(nowMillis);
            if (next.isEmpty()) {
                return;
            }
            QueuedRequest request = next.get().request();
            Upstream worker = take(request.routing(), request::weighed).orElseThrow();
            queue.started(next.get(), worker.name());
            assignments.add(new Assignment(request, worker));
        }
    }

    /** Refuses every waiting request, for a service that was removed. */
    void close() {
        List<QueuedRequest> removed = lock.call(queue::clear);
        removed.forEach(request ->
                request.refuse(Refusal.builder(EventCode.SERVICE_UNKNOWN, 404).build()));
    }
}
