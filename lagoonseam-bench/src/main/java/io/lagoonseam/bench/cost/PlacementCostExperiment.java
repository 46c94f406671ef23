package io.lagoonseam.bench.cost;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lagoonseam.bench.experiment.Experiment;
import io.lagoonseam.bench.experiment.ExperimentContext;
import io.lagoonseam.bench.experiment.ExperimentResult;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.placement.EngineState;
import io.lagoonseam.core.placement.ModelTarget;
import io.lagoonseam.core.placement.ObservedEngine;
import io.lagoonseam.core.placement.PlacementPlanner;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Measures the processor time of one round of planning at three numbers of engines, settled and moving. */
public final class PlacementCostExperiment implements Experiment {

    private static final int[] ENGINES = {30, 300, 3_000};
    private static final int WARM_UP_ROUNDS = 30;
    private static final int ROUNDS = 20;
    private static final int MOST_MOVES = 2;
    private static final int DATA_CENTRES = 15;

    @Override
    public String name() {
        return "placement-cost";
    }

    @Override
    public String summary() {
        return "Processor time of one round of placement planning at 30, 300 and 3,000 engines";
    }

    private static List<ObservedEngine> engines(int count) {
        List<ObservedEngine> engines = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            Upstream upstream =
                    new Upstream("e" + number, "care-llm", "127.0.0.1", number, "dc-" + number % DATA_CENTRES, 8);
            String model = number % 2 == 0 ? "care-1" : "care-2";
            engines.add(new ObservedEngine(
                    upstream, new EngineState(1, false, 4, List.of(new EngineState.HeldModel(model, "1", true)))));
        }
        return engines;
    }

    @Override
    public ExperimentResult run(ExperimentContext context) {
        ObjectNode fields = JsonNodeFactory.instance.objectNode();
        ArrayNode points = fields.putArray("points");
        StringBuilder report = new StringBuilder("# Cost of a round of placement planning\n\n"
                + "| engines | settled ms | moving ms |\n|---|---|---|\n");
        for (int count : ENGINES) {
            List<ObservedEngine> engines = engines(count);
            double settled = millisPerRound(engines, Map.of("care-1", 50.0, "care-2", 50.0));
            double moving = millisPerRound(engines, Map.of("care-1", 90.0, "care-2", 10.0));
            points.addObject()
                    .put("engines", count)
                    .put("settledMillis", settled)
                    .put("movingMillis", moving);
            report.append(String.format(Locale.ROOT, "| %d | %.3f | %.3f |%n", count, settled, moving));
        }
        return new ExperimentResult(fields, report.toString(), 0);
    }

    private static double millisPerRound(List<ObservedEngine> engines, Map<String, Double> demand) {
        List<ModelTarget> targets = List.of(
                new ModelTarget("care-1", "1", 1, engines.size(), true),
                new ModelTarget("care-2", "1", 1, engines.size(), false));
        PlacementPlanner planner = new PlacementPlanner(MOST_MOVES);
        for (int round = 0; round < WARM_UP_ROUNDS; round++) {
            planner.plan(engines, targets, demand);
        }
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long beforeNanos = threads.getCurrentThreadCpuTime();
        for (int round = 0; round < ROUNDS; round++) {
            planner.plan(engines, targets, demand);
        }
        return (threads.getCurrentThreadCpuTime() - beforeNanos) / 1e6 / ROUNDS;
    }
}
