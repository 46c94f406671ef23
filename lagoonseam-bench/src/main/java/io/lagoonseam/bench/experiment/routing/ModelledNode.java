package io.lagoonseam.bench.experiment.routing;

import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.routing.AdaptiveLimit;
import io.lagoonseam.core.routing.PrefixIndex;
import io.lagoonseam.core.routing.RoutingRequest;
import io.lagoonseam.core.routing.ScoreSelector;
import io.lagoonseam.core.routing.TwoChoicesSelector;
import io.lagoonseam.core.routing.WorkerSelector;
import io.lagoonseam.core.routing.WorkerState;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** A simulated entry node that routes to its subset of the workers with the product's own selectors. */
final class ModelledNode {

    private final RoutingStrategy strategy;
    private final List<ModelledWorker> workers;
    private final int[] subset;
    private final int[] inFlight;
    private final double[] othersReported;
    private final double[] othersExchanged;
    private final int[] leasedSlots;
    private final AdaptiveLimit[] limits;
    private final PrefixIndex prefixIndex = new PrefixIndex();
    private final WorkerSelector selector;
    private final Deque<ModelledRequest> waiting = new ArrayDeque<>();
    private double reportedAtMillis;
    private double nowMillis;
    private int arrivals;

    ModelledNode(RoutingStrategy strategy, List<ModelledWorker> workers, int[] subset, Random random) {
        this.strategy = strategy;
        this.workers = workers;
        this.subset = subset.clone();
        this.inFlight = new int[workers.size()];
        this.othersReported = new double[workers.size()];
        this.othersExchanged = new double[workers.size()];
        this.leasedSlots = new int[workers.size()];
        this.limits = new AdaptiveLimit[workers.size()];
        Arrays.setAll(limits, worker -> new AdaptiveLimit(ModelledWorker.BATCH_SLOTS));
        this.selector = strategy.scored()
                ? new ScoreSelector(
                        random, (worker, prefix) -> prefixIndex.cachedBlocks(worker, prefix, (long) nowMillis))
                : new TwoChoicesSelector(random);
    }

    int[] subset() {
        return subset;
    }

    int inFlight(int worker) {
        return inFlight[worker];
    }

    void enqueue(ModelledRequest request) {
        arrivals++;
        waiting.addLast(request);
    }

    /** Returns the arrivals since the last call plus the waiting requests plus one, and resets the arrivals. */
    double takeDemand() {
        double demand = arrivals + waiting.size() + 1;
        arrivals = 0;
        return demand;
    }

    void setLeasedSlots(int worker, int slots) {
        leasedSlots[worker] = slots;
    }

    void setExchangedLoad(int worker, double othersInFlight) {
        othersExchanged[worker] = othersInFlight;
    }

    void readLoadReports(double atMillis) {
        reportedAtMillis = atMillis;
        for (int worker : subset) {
            othersReported[worker] = Math.max(0, workers.get(worker).reportedLoad() - inFlight[worker]);
            int reportedWaiting = workers.get(worker).reportedLoad() - ModelledWorker.BATCH_SLOTS;
            limits[worker].observeWaiting(reportedWaiting, (long) atMillis);
        }
    }

    /** Sends the first waiting request and returns it, or returns null if none waits or no worker has a free slot. */
    ModelledRequest sendNext(double atMillis) {
        nowMillis = atMillis;
        ModelledRequest request = waiting.peekFirst();
        int worker = request == null ? -1 : selectWorker(request);
        if (worker < 0) {
            return null;
        }
        waiting.removeFirst();
        inFlight[worker]++;
        request.assignWorker(worker);
        prefixIndex.recordRequest(workers.get(worker).name(), request.prefix(), (long) nowMillis);
        return request;
    }

    void recordFinish(ModelledRequest request, double atMillis) {
        nowMillis = atMillis;
        inFlight[request.worker()]--;
        limits[request.worker()].observePace(1, inFlight[request.worker()], (long) nowMillis);
    }

    private int selectWorker(ModelledRequest request) {
        List<WorkerState> states = new ArrayList<>(subset.length);
        for (int worker : subset) {
            states.add(state(worker));
        }
        RoutingRequest routing = new RoutingRequest(Tier.URGENT, request.prefix(), Set.of());
        return selector.select(routing, states)
                .map(state -> Integer.parseInt(state.name()))
                .orElse(-1);
    }

    private WorkerState state(int worker) {
        boolean isLeased = strategy.leased();
        double reported = isLeased ? 0 : othersReported[worker];
        return new WorkerState(
                workers.get(worker).name(),
                inFlight[worker],
                isLeased ? leasedSlots[worker] : limits[worker].current(),
                reported,
                (long) (nowMillis - reportedAtMillis),
                reported,
                strategy.exchanging() ? othersExchanged[worker] : -1,
                1);
    }
}
