package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.admission.AdmissionController;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.lock.LockRank;
import io.lagoonseam.core.lock.RankedLock;
import io.lagoonseam.core.routing.WorkerSelector;
import io.lagoonseam.core.routing.WorkerState;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.core.verdict.Refusal;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The queue and the workers of one service, under one lock. */
final class ServiceDispatcher {

    private final RankedLock lock = new RankedLock(LockRank.SERVICE);
    private final ServiceQueue queue;
    private final Map<String, WorkerEntry> workers = new LinkedHashMap<>();
    private final WorkerSelector selector;
    private final TimeSource time;
    private final InvariantMonitor invariants;

    ServiceDispatcher(
            AdmissionController admission,
            WorkerSelector selector,
            TimeSource time,
            InvariantMonitor invariants,
            RouterMetrics metrics) {
        this.queue = new ServiceQueue(admission, invariants, metrics);
        this.selector = selector;
        this.time = time;
        this.invariants = invariants;
    }

    private static final class WorkerEntry {
        private Upstream upstream;
        private int inFlight;
        private double reportedWaiting;
        private long reportedAtMillis;
        private boolean leaving;
        private boolean configured = true;

        private WorkerEntry(Upstream upstream) {
            this.upstream = upstream;
        }

        private WorkerState state(long nowMillis) {
            return new WorkerState(
                    upstream.name(), inFlight, upstream.concurrency(), reportedWaiting, nowMillis - reportedAtMillis);
        }
    }

    private record Assignment(QueuedRequest request, Upstream worker) {}

    void configure(Collection<Upstream> upstreams) {
        lock.run(() -> {
            workers.values().forEach(worker -> worker.configured = false);
            for (Upstream upstream : upstreams) {
                WorkerEntry worker = workers.computeIfAbsent(upstream.name(), name -> new WorkerEntry(upstream));
                worker.upstream = upstream;
                worker.configured = true;
            }
            workers.values().removeIf(worker -> !worker.configured && worker.inFlight == 0);
        });
        pump();
    }

    void markLeaving(Set<String> names) {
        lock.run(() -> workers.values().forEach(worker -> worker.leaving = names.contains(worker.upstream.name())));
        pump();
    }

    void report(String workerName, int waitingCount) {
        lock.run(() -> {
            WorkerEntry worker = workers.get(workerName);
            if (worker != null) {
                worker.reportedWaiting = waitingCount;
                worker.reportedAtMillis = time.monotonicMillis();
            }
        });
    }

    List<Upstream> upstreams() {
        return lock.call(() -> workers.values().stream()
                .filter(worker -> worker.configured)
                .map(worker -> worker.upstream)
                .toList());
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

    void release(Upstream upstream) {
        lock.run(() -> {
            WorkerEntry worker = workers.get(upstream.name());
            if (worker != null) {
                worker.inFlight--;
                if (!worker.configured && worker.inFlight == 0) {
                    workers.remove(upstream.name());
                }
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
        });
        expired.forEach(ServiceQueue.Shed::answer);
        assignments.forEach(assignment -> assignment.request().start(assignment.worker()));
    }

    private void assign(long nowMillis, List<Assignment> assignments) {
        while (hasRoom()) {
            Optional<ServiceQueue.Next> next = queue.poll(nowMillis);
            if (next.isEmpty()) {
                return;
            }
            QueuedRequest request = next.get().request();
            WorkerEntry worker = choose(request, nowMillis);
            worker.inFlight++;
            invariants.check(Invariant.LEAVING_GETS_NO_WORK, !worker.leaving, worker.upstream.name());
            queue.started(next.get(), worker.upstream.name());
            assignments.add(new Assignment(request, worker.upstream));
        }
    }

    private boolean hasRoom() {
        return workers.values().stream().anyMatch(ServiceDispatcher::open);
    }

    private static boolean open(WorkerEntry worker) {
        return worker.configured && !worker.leaving && worker.inFlight < worker.upstream.concurrency();
    }

    private WorkerEntry choose(QueuedRequest request, long nowMillis) {
        List<WorkerState> open = new ArrayList<>();
        List<WorkerState> untried = new ArrayList<>();
        for (WorkerEntry worker : workers.values()) {
            if (open(worker)) {
                WorkerState state = worker.state(nowMillis);
                open.add(state);
                if (!request.excludedWorkers().contains(worker.upstream.name())) {
                    untried.add(state);
                }
            }
        }
        WorkerState chosen = selector.select(untried.isEmpty() ? open : untried).orElseThrow();
        return workers.get(chosen.name());
    }

    /** Refuses every waiting request, for a service that was removed. */
    void close() {
        List<QueuedRequest> removed = lock.call(queue::clear);
        removed.forEach(request ->
                request.refuse(Refusal.builder(EventCode.SERVICE_UNKNOWN, 404).build()));
    }
}
