package io.lagoonseam.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.configuration.Upstream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class PlacementPlannerTest {

    private static ObservedEngine engine(int number, String model, String version, boolean ready, boolean draining) {
        Upstream upstream = new Upstream("e" + number, "care-llm", "127.0.0.1", number, "dc-" + number % 3, 8);
        List<EngineState.HeldModel> models =
                model == null ? List.of() : List.of(new EngineState.HeldModel(model, version, ready));
        return new ObservedEngine(upstream, new EngineState(0, draining, draining ? 1 : 0, models));
    }

    public static final class Steps {

        private final PlacementPlanner planner = new PlacementPlanner(1);

        @Test
        public void loadsOnFreeEnginesUrgentFirst() {
            List<ModelTarget> targets =
                    List.of(new ModelTarget("batch", "1", 1, 4, false), new ModelTarget("care", "1", 1, 4, true));
            List<PlannedStep> steps =
                    planner.plan(List.of(engine(1, null, null, false, false)), targets, Map.of("batch", 9.0));
            assertEquals(steps.size(), 1);
            assertEquals(((PlannedStep.Load) steps.get(0)).model(), new EngineOrder.ModelVersion("care", "1"));
        }

        @Test
        public void neverTakesTheLastServingEngine() {
            List<ModelTarget> targets =
                    List.of(new ModelTarget("old", "1", 0, 4, false), new ModelTarget("new", "1", 1, 4, true));
            List<ObservedEngine> engines = List.of(engine(1, "old", "1", true, false));
            assertEquals(planner.plan(engines, targets, Map.of("old", 1.0, "new", 100.0)), List.of());
        }

        @Test
        public void drainsBeforeItLoads() {
            List<ModelTarget> targets =
                    List.of(new ModelTarget("a", "1", 1, 4, false), new ModelTarget("b", "1", 1, 4, false));
            List<ObservedEngine> engines = List.of(engine(1, "a", "1", true, false), engine(2, "a", "1", true, false));
            List<PlannedStep> steps = planner.plan(engines, targets, Map.of("a", 1.0, "b", 1.0));
            assertEquals(steps.size(), 1);
            assertTrue(steps.get(0) instanceof PlannedStep.Drain);
        }

        @Test
        public void movesOneEngineAtATimeToANewVersion() {
            List<ModelTarget> targets = List.of(new ModelTarget("a", "2", 3, 3, false));
            List<ObservedEngine> engines = List.of(
                    engine(1, "a", "1", true, false),
                    engine(2, "a", "1", true, false),
                    engine(3, "a", "1", true, false));
            assertEquals(planner.plan(engines, targets, Map.of("a", 1.0)).size(), 1);
        }
    }

    public static final class Convergence {

        private static final int ROUNDS = 60;

        @DataProvider
        public Object[][] seeds() {
            return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}, {7L}, {8L}, {9L}, {10L}};
        }

        /** Applies each plan to a model of the engines and checks the promise after each step. */
        @Test(dataProvider = "seeds")
        public void reachesTheSharesWithoutLosingAServedModel(long seed) {
            Random random = new Random(seed);
            List<ModelTarget> targets = List.of(
                    new ModelTarget("a", "1", 1, 8, true),
                    new ModelTarget("b", "2", 1, 8, false),
                    new ModelTarget("c", "1", 1, 8, false));
            Map<String, Double> demand =
                    Map.of("a", 1 + random.nextDouble() * 100, "b", 1 + random.nextDouble() * 100, "c", 1.0);
            List<ObservedEngine> engines = new ArrayList<>();
            String[] held = {"a", "b", "c"};
            for (int number = 0; number < 12; number++) {
                String model = number < 3 ? held[number] : held[random.nextInt(3)];
                engines.add(engine(number, model, "1", true, false));
            }
            PlacementPlanner planner = new PlacementPlanner(2);
            for (int round = 0; round < ROUNDS; round++) {
                apply(planner.plan(engines, targets, demand), engines);
                for (String model : held) {
                    assertTrue(
                            engines.stream().anyMatch(engine -> engine.state().serves(model)),
                            model + " is served by none in round " + round);
                }
            }
            assertEquals(planner.plan(engines, targets, demand), List.of());
            Map<String, Integer> counts = new HashMap<>();
            engines.forEach(
                    engine -> counts.merge(engine.state().models().get(0).name(), 1, Integer::sum));
            assertEquals(counts, WorkerShares.divide(12, targets, demand));
        }

        private static void apply(List<PlannedStep> steps, List<ObservedEngine> engines) {
            for (int index = 0; index < engines.size(); index++) {
                ObservedEngine engine = engines.get(index);
                engines.set(index, new ObservedEngine(engine.upstream(), next(engine, steps)));
            }
        }

        private static EngineState next(ObservedEngine engine, List<PlannedStep> steps) {
            Optional<PlannedStep> own = steps.stream()
                    .filter(step ->
                            step.engine().name().equals(engine.upstream().name()))
                    .findFirst();
            if (own.isPresent() && own.get() instanceof PlannedStep.Load load) {
                EngineState.HeldModel model = new EngineState.HeldModel(
                        load.model().name(), load.model().version(), false);
                return new EngineState(0, false, 0, List.of(model));
            }
            if (own.isPresent()) {
                return new EngineState(0, true, 1, engine.state().models());
            }
            List<EngineState.HeldModel> ready = engine.state().models().stream()
                    .map(held -> new EngineState.HeldModel(held.name(), held.version(), true))
                    .toList();
            return new EngineState(0, engine.state().draining(), 0, ready);
        }
    }
}
