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

/** One entry node with its subset of the workers, deciding by the product's own selectors. */
final class ModelledNode {

    private final RoutingWay way;
    private final List<ModelledWorker> workers;
    private final int[] subset;
    private final int[] inFlight;
    private final double[] othersReported;
    private final double[] othersExchanged;
    private final int[] leases;
    private final AdaptiveLimit[] limits;
    private final PrefixIndex prefixes = new PrefixIndex();
    private final WorkerSelector selector;
    private final Deque<ModelledRequest> waiting = new ArrayDeque<>();
    private double reportedAtMillis;
    private double nowMillis;
    private int arrivals;

    ModelledNode(RoutingWay way, List<ModelledWorker> workers, int[] subset, Random random) {
        this.way = way;
        this.workers = workers;
        this.subset = subset.clone();
        this.inFlight = new int[workers.size()];
        this.othersReported = new double[workers.size()];
        this.othersExchanged = new double[workers.size()];
        this.leases = new int[workers.size()];
        this.limits = new AdaptiveLimit[workers.size()];
        Arrays.setAll(limits, worker -> new AdaptiveLimit(ModelledWorker.BATCH));
        this.selector = way.scored()
                ? new ScoreSelector(random, (worker, prefix) -> prefixes.cachedBlocks(worker, prefix, (long) nowMillis))
                : new TwoChoicesSelector(random);
    }

    int[] subset() {
        return subset;
    }

    int inFlight(int worker) {
        return inFlight[worker];
    }

    void arrived(ModelledRequest request) {
        arrivals++;
        waiting.addLast(request);
    }

    /** Returns the demand since the last call, for leases. */
    double takeDemand() {
        double demand = arrivals + waiting.size() + 1;
        arrivals = 0;
        return demand;
    }

    void lease(int worker, int slots) {
        leases[worker] = slots;
    }

    void exchanged(int worker, double others) {
        othersExchanged[worker] = others;
    }

    void poll(double atMillis) {
        reportedAtMillis = atMillis;
        for (int worker : subset) {
            othersReported[worker] = Math.max(0, workers.get(worker).reportedLoad() - inFlight[worker]);
            int reportedWaiting = workers.get(worker).reportedLoad() - ModelledWorker.BATCH;
            limits[worker].observeWaiting(reportedWaiting, (long) atMillis);
        }
    }

    /** Sends the next waiting request if a worker can take it. */
    ModelledRequest sendNext(double atMillis) {
        nowMillis = atMillis;
        ModelledRequest request = waiting.peekFirst();
        int worker = request == null ? -1 : choose(request);
        if (worker < 0) {
            return null;
        }
        waiting.removeFirst();
        inFlight[worker]++;
        request.sentTo(worker);
        prefixes.routed(workers.get(worker).name(), request.prefix(), (long) nowMillis);
        return request;
    }

    void finished(ModelledRequest request, double atMillis) {
        nowMillis = atMillis;
        inFlight[request.worker()]--;
        limits[request.worker()].observePace(1, inFlight[request.worker()], (long) nowMillis);
    }

    private int choose(ModelledRequest request) {
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
        boolean leased = way.leased();
        double reported = leased ? 0 : othersReported[worker];
        return new WorkerState(
                workers.get(worker).name(),
                inFlight[worker],
                leased ? leases[worker] : limits[worker].current(),
                reported,
                (long) (nowMillis - reportedAtMillis),
                reported,
                way.exchanging() ? othersExchanged[worker] : -1,
                1);
    }
}
