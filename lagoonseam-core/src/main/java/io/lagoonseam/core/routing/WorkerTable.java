package io.lagoonseam.core.routing;

import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.time.TimeSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Table of the workers of one service with the load, limits, time between tokens and failures that this node has
 * observed. Not thread-safe; the caller must hold the service's lock.
 */
public final class WorkerTable {

    private static final double MAX_EJECTED_SHARE = 0.5;
    private static final long EJECTION_REFRESH_MILLIS = 50;

    private final Map<String, Entry> workers = new LinkedHashMap<>();
    private final PrefixIndex prefixes = new PrefixIndex();
    private final WorkerSelector selector;
    private final TimeSource time;
    private final RandomGenerator random;
    private final boolean adaptive;
    private double medianPaceMillis;
    private long refreshedAtMillis = Long.MIN_VALUE / 2;

    /** State of one worker. */
    private static final class Entry {
        private final WorkerHealth health = new WorkerHealth();
        private final AdaptiveLimit limit;
        private Upstream upstream;
        private int inFlight;
        private double reportedWaiting;
        private double reportedOtherRequests;
        private long reportedAtMillis = Long.MIN_VALUE / 2;
        private long leasedSlots;
        private long leasedUntilMillis = Long.MIN_VALUE;
        private boolean leaving;
        private boolean serving = true;
        private boolean configured = true;
        private boolean ejected;

        private Entry(Upstream upstream) {
            this.upstream = upstream;
            this.limit = new AdaptiveLimit(upstream.concurrency());
        }

        /** Returns whether the worker may receive requests unless it is ejected. */
        private boolean usable() {
            return configured && !leaving && serving;
        }
    }

    /** Listener that is notified of the candidates and the result of a worker selection. */
    @FunctionalInterface
    public interface SelectionListener {

        /**
         * Called when a worker has been selected.
         *
         * @param candidates the workers that were available for the request
         * @param chosen the name of the selected worker
         */
        void workerSelected(List<WorkerState> candidates, String chosen);
    }

    /**
     * Creates an empty table.
     *
     * @param policy the routing policy
     * @param time the clock
     * @param random the source of random numbers for jitter and worker selection
     */
    public WorkerTable(RoutingPolicy policy, TimeSource time, RandomGenerator random) {
        this.time = time;
        this.random = random;
        this.adaptive = policy.adaptive();
        this.selector = policy.selector(
                random, (worker, prefix) -> prefixes.cachedBlocks(worker, prefix, time.monotonicMillis()));
    }

    /**
     * Applies the workers of a new file set. A worker that is no longer configured stays in the table until its
     * requests have ended, but gets no new ones.
     *
     * @param upstreams the configured workers
     */
    public void configure(Collection<Upstream> upstreams) {
        workers.values().forEach(worker -> worker.configured = false);
        for (Upstream upstream : upstreams) {
            Entry worker = workers.computeIfAbsent(upstream.name(), name -> new Entry(upstream));
            worker.upstream = upstream;
            worker.configured = true;
            worker.limit.setMaximum(upstream.concurrency());
        }
        workers.values().removeIf(worker -> !worker.configured && worker.inFlight == 0);
    }

    /**
     * Sets which workers are leaving. They get no new requests.
     *
     * @param names the names of all leaving workers
     */
    public void markLeaving(Set<String> names) {
        workers.values().forEach(worker -> worker.leaving = names.contains(worker.upstream.name()));
    }

    /**
     * Returns whether a worker is leaving.
     *
     * @param name the worker's name
     * @return true if the worker is in the table and leaving
     */
    public boolean isLeaving(String name) {
        Entry worker = workers.get(name);
        return worker != null && worker.leaving;
    }

    /**
     * Records whether a worker reports that it accepts new requests. A worker that drains or loads its model does not.
     *
     * @param name the worker's name
     * @param serving whether the worker accepts new requests
     */
    public void markServing(String name, boolean serving) {
        Entry worker = workers.get(name);
        if (worker != null) {
            worker.serving = serving;
        }
    }

    /**
     * Records a load report of a worker.
     *
     * @param name the worker's name
     * @param running the number of requests that the worker is running
     * @param waiting the number of requests waiting at the worker
     */
    public void recordLoadReport(String name, int running, int waiting) {
        Entry worker = workers.get(name);
        if (worker == null) {
            return;
        }
        worker.reportedWaiting = waiting;
        worker.reportedOtherRequests = Math.max(0, running + waiting - worker.inFlight);
        worker.reportedAtMillis = time.monotonicMillis();
        worker.limit.observeWaiting(waiting, worker.reportedAtMillis);
    }

    /**
     * Records a capacity lease of a worker. Until it expires, it limits the concurrent requests of this node there.
     *
     * @param name the worker's name
     * @param slots the maximum number of concurrent requests of this node
     * @param untilMillis the monotonic time in milliseconds at which the lease expires
     */
    public void lease(String name, long slots, long untilMillis) {
        Entry worker = workers.get(name);
        if (worker != null) {
            worker.leasedSlots = slots;
            worker.leasedUntilMillis = untilMillis;
        }
    }

    /**
     * Applies an event of a worker's prefix cache.
     *
     * @param name the worker's name
     * @param event the event
     */
    public void applyCacheEvent(String name, CacheEvent event) {
        prefixes.apply(name, event, time.monotonicMillis());
    }

    /**
     * Returns the sequence number of the last cache event of a worker.
     *
     * @param name the worker's name
     * @return the sequence number, or 0 if no event has been received
     */
    public long lastCacheEvent(String name) {
        return prefixes.lastSequence(name);
    }

    /**
     * Returns the configured workers.
     *
     * @return the workers of the last applied file set
     */
    public List<Upstream> upstreams() {
        return workers.values().stream()
                .filter(worker -> worker.configured)
                .map(worker -> worker.upstream)
                .toList();
    }

    /**
     * Returns the number of this node's requests in flight at each worker.
     *
     * @return the number of requests by worker name
     */
    public Map<String, Integer> inFlight() {
        Map<String, Integer> result = new LinkedHashMap<>();
        workers.forEach((name, worker) -> result.put(name, worker.inFlight));
        return result;
    }

    /**
     * Returns whether any usable worker that is not ejected has a free slot.
     *
     * @return true if a request can be sent without being a half-open probe
     */
    public boolean hasRoom() {
        refreshEjections();
        for (Entry worker : workers.values()) {
            if (worker.usable() && !worker.ejected && worker.inFlight < limit(worker)) {
                return true;
            }
        }
        return false;
    }

    private int limit(Entry worker) {
        if (!adaptive) {
            return worker.upstream.concurrency();
        }
        boolean leased = time.monotonicMillis() < worker.leasedUntilMillis;
        return leased ? (int) Math.min(worker.leasedSlots, worker.limit.current()) : worker.limit.current();
    }

    /**
     * Selects a worker and occupies a slot there until {@link #release}.
     *
     * @param request the request
     * @return the worker, or empty if no worker has a free slot
     */
    public Optional<Upstream> acquire(RoutingRequest request) {
        return acquire(request, (candidates, chosen) -> {});
    }

    /**
     * Selects a worker, notifies the listener, and occupies a slot at the worker until {@link #release}. With an
     * adaptive policy, the request is sent to an ejected worker if a half-open probe of that worker is due.
     *
     * @param request the request
     * @param listener notified of the candidates and the selected worker
     * @return the worker, or empty if no worker has a free slot
     */
    public Optional<Upstream> acquire(RoutingRequest request, SelectionListener listener) {
        refreshEjections();
        Optional<Entry> chosen = adaptive ? selectForProbe(request, listener) : Optional.empty();
        if (chosen.isEmpty()) {
            chosen = selectWorker(request, listener);
        }
        chosen.ifPresent(worker -> {
            worker.inFlight++;
            prefixes.recordRequest(worker.upstream.name(), request.prefix(), time.monotonicMillis());
        });
        return chosen.map(worker -> worker.upstream);
    }

    private Optional<Entry> selectForProbe(RoutingRequest request, SelectionListener listener) {
        long nowMillis = time.monotonicMillis();
        boolean urgent = request.tier() == Tier.URGENT;
        for (Entry worker : workers.values()) {
            boolean untried = !request.excludedWorkers().contains(worker.upstream.name());
            if (worker.ejected
                    && worker.usable()
                    && untried
                    && worker.inFlight == 0
                    && worker.health.probeDue(urgent, nowMillis)) {
                worker.health.recordProbe(nowMillis);
                listener.workerSelected(List.of(state(worker, nowMillis)), worker.upstream.name());
                return Optional.of(worker);
            }
        }
        return Optional.empty();
    }

    private Optional<Entry> selectWorker(RoutingRequest request, SelectionListener listener) {
        List<WorkerState> available = new ArrayList<>(workers.size());
        List<WorkerState> untried = new ArrayList<>(workers.size());
        long nowMillis = time.monotonicMillis();
        for (Entry worker : workers.values()) {
            if (worker.usable() && !worker.ejected && worker.inFlight < limit(worker)) {
                WorkerState state = state(worker, nowMillis);
                available.add(state);
                if (!request.excludedWorkers().contains(worker.upstream.name())) {
                    untried.add(state);
                }
            }
        }
        List<WorkerState> candidates = untried.isEmpty() ? available : untried;
        Optional<WorkerState> chosen = selector.select(request, candidates);
        chosen.ifPresent(state -> listener.workerSelected(candidates, state.name()));
        return chosen.map(state -> workers.get(state.name()));
    }

    private WorkerState state(Entry worker, long nowMillis) {
        return new WorkerState(
                worker.upstream.name(),
                worker.inFlight,
                limit(worker),
                worker.reportedWaiting,
                nowMillis - worker.reportedAtMillis,
                worker.reportedOtherRequests,
                -1, // unknown: this table does not receive the counts exchanged between nodes
                worker.health.slowFactor(medianPaceMillis));
    }

    /**
     * Releases the slot of a request that has ended at a worker.
     *
     * @param name the worker's name
     */
    public void release(String name) {
        Entry worker = workers.get(name);
        if (worker == null) {
            return;
        }
        worker.inFlight--;
        if (!worker.configured && worker.inFlight == 0) {
            workers.remove(name);
            prefixes.remove(name);
        }
    }

    /**
     * Records the pace of one stream of a worker.
     *
     * @param name the worker's name
     * @param gapMillis the mean time in milliseconds between consecutive tokens over a section of the stream
     */
    public void observePace(String name, double gapMillis) {
        Entry worker = workers.get(name);
        if (worker == null) {
            return;
        }
        worker.health.observePace(gapMillis);
        worker.limit.observePace(worker.health.slowFactor(medianPaceMillis), worker.inFlight, time.monotonicMillis());
    }

    /**
     * Records the outcome of an attempt at a worker.
     *
     * @param name the worker's name
     * @param outcome what the outcome indicates about the health of the worker
     */
    public void observeOutcome(String name, AttemptOutcome outcome) {
        Entry worker = workers.get(name);
        if (worker == null || outcome == AttemptOutcome.NEUTRAL) {
            return;
        }
        if (outcome == AttemptOutcome.SUCCEEDED) {
            worker.health.observeSuccess();
            worker.limit.observePace(
                    worker.health.slowFactor(medianPaceMillis), worker.inFlight, time.monotonicMillis());
        } else {
            worker.health.observeFailure(outcome.severity(), time.monotonicMillis(), random);
        }
        if (outcome == AttemptOutcome.UNREACHABLE) {
            prefixes.remove(name);
        }
        refreshedAtMillis = Long.MIN_VALUE / 2;
    }

    /**
     * Returns the ejected workers, which receive only half-open probes.
     *
     * @return the names of the workers
     */
    public List<String> ejected() {
        refreshEjections();
        return workers.values().stream()
                .filter(worker -> worker.ejected)
                .map(worker -> worker.upstream.name())
                .toList();
    }

    private void refreshEjections() {
        long nowMillis = time.monotonicMillis();
        if (!adaptive || nowMillis - refreshedAtMillis < EJECTION_REFRESH_MILLIS) {
            return;
        }
        refreshedAtMillis = nowMillis;
        List<Entry> usable = workers.values().stream().filter(Entry::usable).toList();
        medianPaceMillis = medianPace(usable);
        workers.values().forEach(worker -> worker.ejected = false);
        usable.stream()
                .filter(worker -> worker.health.isOutlier(medianPaceMillis))
                .sorted(Comparator.comparingDouble((Entry worker) -> worker.health.outlierScore(medianPaceMillis))
                        .reversed())
                .limit((long) (usable.size() * MAX_EJECTED_SHARE))
                .forEach(worker -> worker.ejected = true);
    }

    private static double medianPace(List<Entry> usable) {
        double[] paces = usable.stream()
                .mapToDouble(worker -> worker.health.paceMillis())
                .filter(pace -> pace > 0)
                .sorted()
                .toArray();
        return paces.length == 0 ? 0 : paces[(paces.length - 1) / 2];
    }
}
