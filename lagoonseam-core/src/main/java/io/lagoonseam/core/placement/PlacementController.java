package io.lagoonseam.core.placement;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.lock.LockRank;
import io.lagoonseam.core.lock.RankedLock;
import io.lagoonseam.core.time.TimeSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;

/**
 * Places the models of one service while this node holds the service's lease. Each round reads every engine, plans the
 * next steps and sends them one by one; right before each order the remaining lease must cover the longest order. A new
 * holder whose engines ignore fencing numbers first waits out the lease and the longest order of the one before.
 */
public final class PlacementController {

    private final RankedLock lock = new RankedLock(LockRank.PLACEMENT);
    private final LeaseKeeper keeper;
    private final PlacementScope scope;
    private final PlacementOptions options;
    private final LeaseOptions leaseOptions;
    private final EngineControl engines;
    private final TimeSource time;
    private final EventSink events;
    private final PlacementPlanner planner;
    private final WeightBudget budget;
    private final String service;
    private final Map<String, EngineOrder.ModelVersion> loading = new HashMap<>();
    private long fencing = -1;
    private long actFromMillis;
    private long nextRoundMillis;
    private boolean roundRunning;

    /**
     * Creates a controller that holds nothing.
     *
     * @param environment what it works with
     * @param options how it acts
     * @param service the service
     * @param nodeId this node
     * @param scope what is wanted of the service
     * @param random the source of jitter
     */
    public PlacementController(
            PlacementEnvironment environment,
            PlacementOptions options,
            String service,
            String nodeId,
            PlacementScope scope,
            RandomGenerator random) {
        this.keeper = new LeaseKeeper(environment, service, nodeId);
        this.scope = scope;
        this.options = options;
        this.leaseOptions = environment.leaseOptions();
        this.engines = environment.engines();
        this.time = environment.time();
        this.events = environment.events();
        this.planner = new PlacementPlanner(options.mostMoves());
        this.budget = new WeightBudget(options.mostLoads(), random);
        this.service = service;
    }

    /**
     * Returns the lease, if this node holds it now.
     *
     * @return the lease, or empty
     */
    public Optional<HeldLease> held() {
        return keeper.held();
    }

    /**
     * Keeps the lease, and runs a round if one is due; called at short intervals.
     *
     * @return completes when the calls of this tick have been dealt with
     */
    public CompletionStage<Void> tick() {
        return keeper.tick().thenCompose(kept -> roundIfDue());
    }

    /**
     * Gives the lease up.
     *
     * @return completes when the platform was told, or could not be
     */
    public CompletionStage<Void> release() {
        return keeper.release();
    }

    private CompletionStage<Void> roundIfDue() {
        Optional<HeldLease> lease = keeper.held();
        noteHolder(lease);
        boolean due = lease.isPresent() && lock.call(this::tryBeginRound);
        if (!due) {
            return CompletableFuture.completedFuture(null);
        }
        return readAll()
                .thenCompose(this::act)
                .whenComplete((done, failure) -> lock.run(() -> {
                    roundRunning = false;
                    nextRoundMillis = time.monotonicMillis() + options.roundMillis();
                }));
    }

    private boolean tryBeginRound() {
        long nowMillis = time.monotonicMillis();
        if (roundRunning || nowMillis < actFromMillis || nowMillis < nextRoundMillis) {
            return false;
        }
        roundRunning = true;
        return true;
    }

    private void noteHolder(Optional<HeldLease> lease) {
        long now = lease.map(HeldLease::fencing).orElse(-1L);
        long before = lock.call(() -> {
            long last = fencing;
            fencing = now;
            if (now != last && now > 0) {
                actFromMillis = time.monotonicMillis() + waitBeforeActing();
                loading.clear();
            }
            return last;
        });
        if (now == before) {
            return;
        }
        EventCode code = now > 0 ? EventCode.PLACEMENT_LEASE_TAKEN : EventCode.PLACEMENT_LEASE_LOST;
        events.record(code, service + " with fencing number " + Math.max(now, before));
    }

    private long waitBeforeActing() {
        return scope.enginesCheckFencing() ? 0 : leaseOptions.durationMillis() + options.longestOrderMillis();
    }

    private CompletionStage<List<ObservedEngine>> readAll() {
        CompletionStage<List<ObservedEngine>> all = CompletableFuture.completedFuture(new ArrayList<>());
        for (Upstream engine : scope.engines()) {
            all = all.thenCombine(engines.read(engine), (list, state) -> {
                state.ifPresent(known -> list.add(new ObservedEngine(engine, known)));
                return list;
            });
        }
        return all;
    }

    private CompletionStage<Void> act(List<ObservedEngine> observed) {
        observed.forEach(this::noteLoad);
        List<PlannedStep> steps = planner.plan(observed, scope.targets(), scope.demand());
        int loadingNow =
                (int) observed.stream().filter(PlacementController::loads).count();
        CompletionStage<Void> done = CompletableFuture.completedFuture(null);
        for (PlannedStep step : steps) {
            Optional<ObservedEngine> engine = observed.stream()
                    .filter(candidate ->
                            candidate.upstream().name().equals(step.engine().name()))
                    .findFirst();
            if (step instanceof PlannedStep.Load load) {
                if (!budget.allows(load.engine().name(), loadingNow, time.monotonicMillis())) {
                    continue;
                }
                loadingNow++;
            }
            done = done.thenCompose(before -> send(engine.orElseThrow(), step));
        }
        return done;
    }

    private static boolean loads(ObservedEngine engine) {
        return engine.state().models().stream().anyMatch(held -> !held.ready());
    }

    /** Sees whether a load that was ordered has succeeded or failed. */
    private void noteLoad(ObservedEngine engine) {
        String name = engine.upstream().name();
        EngineOrder.ModelVersion ordered = lock.call(() -> loading.get(name));
        if (ordered == null) {
            return;
        }
        Optional<EngineState.HeldModel> held = engine.state().models().stream()
                .filter(model -> model.name().equals(ordered.name()))
                .findFirst();
        if (held.isPresent() && !held.get().ready()) {
            return;
        }
        lock.run(() -> loading.remove(name));
        if (held.isPresent()) {
            budget.succeeded(name);
        } else {
            budget.failed(name, time.monotonicMillis());
            events.record(EventCode.MODEL_LOAD_FAILED, ordered.name() + " on " + name);
        }
    }

    private CompletionStage<Void> send(ObservedEngine engine, PlannedStep step) {
        Optional<HeldLease> lease = keeper.held();
        boolean covered = lease.isPresent()
                && lease.get().remainingMillis(time.monotonicMillis()) >= options.longestOrderMillis();
        if (!covered) {
            return CompletableFuture.completedFuture(null);
        }
        EngineOrder order = toOrder(engine, step, lease.get().fencing());
        return engines.order(engine.upstream(), order).thenAccept(result -> noteResult(step, order, result));
    }

    private static EngineOrder toOrder(ObservedEngine engine, PlannedStep step, long fencing) {
        if (step instanceof PlannedStep.Load load) {
            return new EngineOrder(fencing, false, List.of(load.model()));
        }
        List<EngineOrder.ModelVersion> same = engine.state().models().stream()
                .map(held -> new EngineOrder.ModelVersion(held.name(), held.version()))
                .toList();
        return new EngineOrder(fencing, true, same);
    }

    private void noteResult(PlannedStep step, EngineOrder order, OrderResult result) {
        String detail = step + " with fencing number " + order.fencing();
        if (result instanceof OrderResult.Accepted) {
            if (step instanceof PlannedStep.Load load) {
                lock.run(() -> loading.put(load.engine().name(), load.model()));
            }
            events.record(EventCode.ENGINE_ORDERED, detail);
        } else if (result instanceof OrderResult.Fenced) {
            events.record(EventCode.ENGINE_ORDER_FENCED, detail);
        } else {
            events.record(EventCode.ENGINE_ORDER_FAILED, detail + ": " + result);
        }
    }
}
