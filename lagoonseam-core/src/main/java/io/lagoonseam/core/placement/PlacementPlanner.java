package io.lagoonseam.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Plans the next small steps from what engines hold to what is wanted. An engine holds one model. The last engine that
 * serves a model with demand is never taken, and at most a stated number of engines move at once.
 */
public final class PlacementPlanner {

    private final int mostMoves;

    /**
     * Creates a planner.
     *
     * @param mostMoves the most engines that drain or load at once
     */
    public PlacementPlanner(int mostMoves) {
        this.mostMoves = mostMoves;
    }

    /**
     * Plans the next steps.
     *
     * @param engines the engines that answered
     * @param targets the models
     * @param demand tokens a second by model
     * @return steps that may be taken now, those for urgent models first
     */
    public List<PlannedStep> plan(List<ObservedEngine> engines, List<ModelTarget> targets, Map<String, Double> demand) {
        return new Plan(engines, targets, demand).steps();
    }

    /** A model in a data centre. */
    private record Place(String dataCentre, String model) {}

    /** The state of one planning. */
    private final class Plan {

        private final List<ObservedEngine> engines;
        private final Map<String, ModelTarget> targets = new HashMap<>();
        private final Map<String, Double> demand;
        private final Map<String, Integer> shares;
        private final Map<String, Integer> coming = new HashMap<>();
        private final Map<String, Integer> serving = new HashMap<>();
        private final Map<Place, Integer> heldByPlace = new HashMap<>();
        private final List<PlannedStep> steps = new ArrayList<>();
        private int moving;
        private int draining;

        private Plan(List<ObservedEngine> engines, List<ModelTarget> targets, Map<String, Double> demand) {
            this.engines = engines;
            this.demand = demand;
            targets.forEach(target -> this.targets.put(target.name(), target));
            this.shares = WorkerShares.divide(engines.size(), targets, demand);
            count();
        }

        private void count() {
            for (ObservedEngine engine : engines) {
                Optional<EngineState.HeldModel> held = heldModel(engine);
                held.ifPresent(model ->
                        heldByPlace.merge(new Place(engine.upstream().dataCentre(), model.name()), 1, Integer::sum));
                boolean settled = held.isPresent()
                        && held.get().ready()
                        && !engine.state().draining();
                if (held.isPresent() && isWanted(held.get()) && !engine.state().draining()) {
                    coming.merge(held.get().name(), 1, Integer::sum);
                }
                if (settled) {
                    serving.merge(held.get().name(), 1, Integer::sum);
                } else if (held.isPresent()) {
                    moving++;
                }
                if (engine.state().draining() && engine.state().running() > 0) {
                    draining++;
                }
            }
        }

        private boolean isWanted(EngineState.HeldModel held) {
            ModelTarget target = targets.get(held.name());
            return target != null && target.version().equals(held.version());
        }

        private List<PlannedStep> steps() {
            List<ModelTarget> ordered = new ArrayList<>(targets.values());
            ordered.sort(Comparator.comparing((ModelTarget target) -> !target.urgent())
                    .thenComparing(target -> -missing(target))
                    .thenComparing(ModelTarget::name));
            for (ModelTarget target : ordered) {
                fill(target);
            }
            return steps;
        }

        private int missing(ModelTarget target) {
            return shares.get(target.name()) - coming.getOrDefault(target.name(), 0);
        }

        private void fill(ModelTarget target) {
            while (missing(target) > 0) {
                Optional<ObservedEngine> free = freeEngine(target);
                if (free.isPresent()) {
                    load(free.get(), target);
                    continue;
                }
                if (draining > 0) {
                    draining--;
                    coming.merge(target.name(), 1, Integer::sum);
                    continue;
                }
                Optional<ObservedEngine> donor = moving < mostMoves ? donor(target) : Optional.empty();
                if (donor.isEmpty()) {
                    return;
                }
                drain(donor.get(), target);
            }
        }

        private void load(ObservedEngine engine, ModelTarget target) {
            steps.add(new PlannedStep.Load(
                    engine.upstream(), new EngineOrder.ModelVersion(target.name(), target.version())));
            coming.merge(target.name(), 1, Integer::sum);
        }

        private void drain(ObservedEngine engine, ModelTarget target) {
            steps.add(new PlannedStep.Drain(engine.upstream()));
            moving++;
            serving.merge(heldModel(engine).orElseThrow().name(), -1, Integer::sum);
            heldModel(engine).filter(this::isWanted).ifPresent(held -> coming.merge(held.name(), -1, Integer::sum));
            coming.merge(target.name(), 1, Integer::sum);
        }

        /** An engine without a model, or one that has drained. */
        private Optional<ObservedEngine> freeEngine(ModelTarget target) {
            return engines.stream()
                    .filter(engine -> !isPlanned(engine))
                    .filter(engine -> heldModel(engine).isEmpty()
                            || engine.state().draining() && engine.state().running() == 0)
                    .min(Comparator.comparing((ObservedEngine engine) -> !holds(engine, target))
                            .thenComparing(spread(target)));
        }

        private boolean holds(ObservedEngine engine, ModelTarget target) {
            return heldModel(engine)
                    .filter(this::isWanted)
                    .map(held -> held.name().equals(target.name()))
                    .orElse(false);
        }

        /** An engine whose model has more engines than its share, or an old version. */
        private Optional<ObservedEngine> donor(ModelTarget target) {
            return engines.stream()
                    .filter(engine -> !isPlanned(engine))
                    .filter(this::mayBeTaken)
                    .min(Comparator.comparing((ObservedEngine engine) ->
                                    isWanted(heldModel(engine).orElseThrow()))
                            .thenComparing(spread(target)));
        }

        private boolean mayBeTaken(ObservedEngine engine) {
            Optional<EngineState.HeldModel> held = heldModel(engine);
            if (held.isEmpty() || !held.get().ready() || engine.state().draining()) {
                return false;
            }
            String name = held.get().name();
            boolean hasDemand = demand.getOrDefault(name, 0.0) > 0;
            boolean isLast = serving.getOrDefault(name, 0) <= 1;
            if (isLast
                    && (hasDemand
                            || targets.containsKey(name) && targets.get(name).leastWorkers() > 0)) {
                return false;
            }
            boolean surplus = coming.getOrDefault(name, 0) > shares.getOrDefault(name, 0);
            return surplus || !isWanted(held.get());
        }

        /** Prefers the data centre in which the model has the fewest engines, then the engine with the least work. */
        private Comparator<ObservedEngine> spread(ModelTarget target) {
            return Comparator.comparingInt((ObservedEngine engine) -> enginesWith(target, engine))
                    .thenComparingInt(engine -> engine.state().running())
                    .thenComparing(engine -> engine.upstream().name());
        }

        private int enginesWith(ModelTarget target, ObservedEngine candidate) {
            Place place = new Place(candidate.upstream().dataCentre(), target.name());
            return heldByPlace.getOrDefault(place, 0);
        }

        private boolean isPlanned(ObservedEngine engine) {
            return steps.stream()
                    .anyMatch(step ->
                            step.engine().name().equals(engine.upstream().name()));
        }
    }

    private static Optional<EngineState.HeldModel> heldModel(ObservedEngine engine) {
        return engine.state().models().stream().findFirst();
    }
}
