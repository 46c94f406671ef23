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
 * The workers of one service as this node sees them: load, limits, pace and failures. Not thread-safe: the caller holds
 * the service's lock.
 */
public final class WorkerTable {

    private static final double MAX_ASIDE_SHARE = 0.5;
    private static final long FITNESS_REFRESH_MILLIS = 50;

    private final Map<String, Entry> workers = new LinkedHashMap<>();
    private final PrefixIndex prefixes = new PrefixIndex();
    private final WorkerSelector selector;
    private final TimeSource time;
    private final RandomGenerator random;
    private final boolean adaptive;
    private double peersPaceMillis;
    private long refreshedAtMillis = Long.MIN_VALUE / 2;

    /** What is known of one worker. */
    private static final class Entry {
        private final WorkerHealth health = new WorkerHealth();
        private final AdaptiveLimit limit;
        private Upstream upstream;
        private int inFlight;
        private double reportedWaiting;
        private double othersReported;
        private double othersExchanged = -1;
        private long reportedAtMillis = Long.MIN_VALUE / 2;
        private boolean leaving;
        private boolean configured = true;
        private boolean aside;

        private Entry(Upstream upstream) {
            this.upstream = upstream;
            this.limit = new AdaptiveLimit(upstream.concurrency());
        }

        private boolean usable() {
            return configured && !leaving;
        }
    }

    /** Hears which workers were weighed for a request. */
    @FunctionalInterface
    public interface WeighingListener {

        /**
         * Hears of a choice.
         *
         * @param candidates the workers that could take the request
         * @param chosen the name of the chosen one
         */
        void weighed(List<WorkerState> candidates, String chosen);
    }

    /**
     * Creates an empty table.
     *
     * @param policy the routing policy
     * @param time the clock
     * @param random the source of jitter and choices
     */
    public WorkerTable(RoutingPolicy policy, TimeSource time, RandomGenerator random) {
        this.time = time;
        this.random = random;
        this.adaptive = policy.adaptive();
        this.selector = policy.selector(
                random, (worker, prefix) -> prefixes.cachedBlocks(worker, prefix, time.monotonicMillis()));
    }

    /**
     * Puts the workers of a file set in force; those that were removed stay until their requests have ended.
     *
     * @param upstreams the workers
     */
    public void configure(Collection<Upstream> upstreams) {
        workers.values().forEach(worker -> worker.configured = false);
        for (Upstream upstream : upstreams) {
            Entry worker = workers.computeIfAbsent(upstream.name(), name -> new Entry(upstream));
            worker.upstream = upstream;
            worker.configured = true;
            worker.limit.maximum(upstream.concurrency());
        }
        workers.values().removeIf(worker -> !worker.configured && worker.inFlight == 0);
    }

    /**
     * Marks the workers that are about to go.
     *
     * @param names all names that leave
     */
    public void markLeaving(Set<String> names) {
        workers.values().forEach(worker -> worker.leaving = names.contains(worker.upstream.name()));
    }

    /**
     * Returns whether a worker is about to go.
     *
     * @param name the worker's name
     * @return whether it gets no new work
     */
    public boolean isLeaving(String name) {
        Entry worker = workers.get(name);
        return worker != null && worker.leaving;
    }

    /**
     * Takes a load report.
     *
     * @param name the worker's name
     * @param running the requests that it runs
     * @param waiting the requests that wait there
     */
    public void report(String name, int running, int waiting) {
        Entry worker = workers.get(name);
        if (worker == null) {
            return;
        }
        worker.reportedWaiting = waiting;
        worker.othersReported = Math.max(0, running + waiting - worker.inFlight);
        worker.reportedAtMillis = time.monotonicMillis();
        worker.limit.observeWaiting(waiting, worker.reportedAtMillis);
    }

    /**
     * Takes what other nodes have in flight.
     *
     * @param sums their requests by the worker's name
     */
    public void exchanged(Map<String, Integer> sums) {
        workers.forEach((name, worker) -> worker.othersExchanged = sums.getOrDefault(name, 0));
    }

    /**
     * Takes an event of a worker's prefix cache.
     *
     * @param name the worker's name
     * @param event the event
     */
    public void cacheEvent(String name, CacheEvent event) {
        prefixes.apply(name, event, time.monotonicMillis());
    }

    /**
     * Returns the number of the last cache event of a worker.
     *
     * @param name the worker's name
     * @return the number, or 0 if none came
     */
    public long lastCacheEvent(String name) {
        return prefixes.lastSequence(name);
    }

    /**
     * Returns the workers in force.
     *
     * @return those of the last file set
     */
    public List<Upstream> upstreams() {
        return workers.values().stream()
                .filter(worker -> worker.configured)
                .map(worker -> worker.upstream)
                .toList();
    }

    /**
     * Returns the requests of this node by worker, to tell other nodes.
     *
     * @return requests in flight by the worker's name
     */
    public Map<String, Integer> inFlight() {
        Map<String, Integer> result = new LinkedHashMap<>();
        workers.forEach((name, worker) -> result.put(name, worker.inFlight));
        return result;
    }

    /**
     * Returns whether any worker in ordinary service can take a request.
     *
     * @return true if one has room
     */
    public boolean hasRoom() {
        refresh();
        for (Entry worker : workers.values()) {
            if (worker.usable() && !worker.aside && worker.inFlight < limit(worker)) {
                return true;
            }
        }
        return false;
    }

    private int limit(Entry worker) {
        return adaptive ? worker.limit.current() : worker.upstream.concurrency();
    }

    /**
     * Chooses a worker and counts the request there.
     *
     * @param request the request
     * @return the worker, or empty if none has room
     */
    public Optional<Upstream> acquire(RoutingRequest request) {
        return acquire(request, (candidates, chosen) -> {});
    }

    /**
     * Chooses a worker, tells what was weighed, and counts the request there.
     *
     * @param request the request
     * @param listener hears of the choice
     * @return the worker, or empty if none has room
     */
    public Optional<Upstream> acquire(RoutingRequest request, WeighingListener listener) {
        refresh();
        Optional<Entry> chosen = adaptive ? probe(request, listener) : Optional.empty();
        if (chosen.isEmpty()) {
            chosen = choose(request, listener);
        }
        chosen.ifPresent(worker -> {
            worker.inFlight++;
            prefixes.routed(worker.upstream.name(), request.prefix(), time.monotonicMillis());
        });
        return chosen.map(worker -> worker.upstream);
    }

    private Optional<Entry> probe(RoutingRequest request, WeighingListener listener) {
        long nowMillis = time.monotonicMillis();
        boolean urgent = request.tier() == Tier.URGENT;
        for (Entry worker : workers.values()) {
            boolean untried = !request.excludedWorkers().contains(worker.upstream.name());
            if (worker.aside
                    && worker.usable()
                    && untried
                    && worker.inFlight == 0
                    && worker.health.probeDue(urgent, nowMillis)) {
                worker.health.probed(nowMillis);
                listener.weighed(List.of(state(worker, nowMillis)), worker.upstream.name());
                return Optional.of(worker);
            }
        }
        return Optional.empty();
    }

    private Optional<Entry> choose(RoutingRequest request, WeighingListener listener) {
        List<WorkerState> open = new ArrayList<>(workers.size());
        List<WorkerState> untried = new ArrayList<>(workers.size());
        long nowMillis = time.monotonicMillis();
        for (Entry worker : workers.values()) {
            if (worker.usable() && !worker.aside && worker.inFlight < limit(worker)) {
                WorkerState state = state(worker, nowMillis);
                open.add(state);
                if (!request.excludedWorkers().contains(worker.upstream.name())) {
                    untried.add(state);
                }
            }
        }
        List<WorkerState> candidates = untried.isEmpty() ? open : untried;
        Optional<WorkerState> chosen = selector.select(request, candidates);
        chosen.ifPresent(state -> listener.weighed(candidates, state.name()));
        return chosen.map(state -> workers.get(state.name()));
    }

    private WorkerState state(Entry worker, long nowMillis) {
        return new WorkerState(
                worker.upstream.name(),
                worker.inFlight,
                limit(worker),
                worker.reportedWaiting,
                nowMillis - worker.reportedAtMillis,
                worker.othersReported,
                worker.othersExchanged,
                worker.health.slowFactor(peersPaceMillis));
    }

    /**
     * Ends a request at a worker.
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
            prefixes.forget(name);
        }
    }

    /**
     * Learns from the pace of one stream.
     *
     * @param name the worker's name
     * @param gapMillis the mean time between some tokens
     */
    public void observePace(String name, double gapMillis) {
        Entry worker = workers.get(name);
        if (worker == null) {
            return;
        }
        worker.health.observePace(gapMillis);
        worker.limit.observePace(worker.health.slowFactor(peersPaceMillis), worker.inFlight, time.monotonicMillis());
    }

    /**
     * Learns how an attempt ended.
     *
     * @param name the worker's name
     * @param result how it ended, as far as the worker is to blame
     */
    public void observeResult(String name, AttemptResult result) {
        Entry worker = workers.get(name);
        if (worker == null || result == AttemptResult.NEUTRAL) {
            return;
        }
        if (result == AttemptResult.SUCCEEDED) {
            worker.health.observeSuccess();
            worker.limit.observePace(
                    worker.health.slowFactor(peersPaceMillis), worker.inFlight, time.monotonicMillis());
        } else {
            worker.health.observeFailure(result.severity(), time.monotonicMillis(), random);
        }
        if (result == AttemptResult.UNREACHABLE) {
            prefixes.forget(name);
        }
        refreshedAtMillis = Long.MIN_VALUE / 2;
    }

    /**
     * Returns the workers that are set aside and only probed.
     *
     * @return their names
     */
    public List<String> aside() {
        refresh();
        return workers.values().stream()
                .filter(worker -> worker.aside)
                .map(worker -> worker.upstream.name())
                .toList();
    }

    private void refresh() {
        long nowMillis = time.monotonicMillis();
        if (!adaptive || nowMillis - refreshedAtMillis < FITNESS_REFRESH_MILLIS) {
            return;
        }
        refreshedAtMillis = nowMillis;
        List<Entry> usable = workers.values().stream().filter(Entry::usable).toList();
        peersPaceMillis = medianPace(usable);
        workers.values().forEach(worker -> worker.aside = false);
        usable.stream()
                .filter(worker -> worker.health.unfit(peersPaceMillis))
                .sorted(Comparator.comparingDouble((Entry worker) -> worker.health.unfitness(peersPaceMillis))
                        .reversed())
                .limit((long) (usable.size() * MAX_ASIDE_SHARE))
                .forEach(worker -> worker.aside = true);
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
