package io.lagoonseam.bench.experiment.placement;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lagoonseam.bench.experiment.Experiment;
import io.lagoonseam.bench.experiment.ExperimentContext;
import io.lagoonseam.bench.experiment.ExperimentResult;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Compares ways of placement under the heaviest loads, with few and with many nodes. */
public final class PlacementExperiment implements Experiment {

    private static final List<PlacementScenario> SCENARIOS = List.of(
            PlacementScenario.longPrompts("calm", 95, 47, 1, 0, 0),
            PlacementScenario.longPrompts("cold burst", 6, 47, 2.3, 0.34, 0),
            PlacementScenario.longPrompts("cold burst", 17, 13, 2.3, 0.34, 0),
            PlacementScenario.longPrompts("cold burst", 95, 47, 2.3, 0.34, 0),
            PlacementScenario.longPrompts("cold burst, home dies", 95, 47, 2.3, 0.34, 4_000),
            PlacementScenario.longPrompts("cold burst", 300, 47, 2.3, 0.34, 0),
            PlacementScenario.shortDeadlines("short deadlines x 1", 1, 0.3),
            PlacementScenario.shortDeadlines("short deadlines x 1.5", 1.5, 0.3),
            PlacementScenario.shortDeadlines("short deadlines x 2", 2, 0.3),
            PlacementScenario.shortDeadlines("short deadlines x 3", 3, 0.3),
            PlacementScenario.shortDeadlines("short deadlines x 5", 5, 0.3));

    @Override
    public String name() {
        return "placement";
    }

    @Override
    public String summary() {
        return "Placement by each node with an exchange of counts and by a home, in a cold burst, simulated on a virtual clock";
    }

    @Override
    public ExperimentResult run(ExperimentContext context) {
        ObjectNode fields = new ObjectMapper().createObjectNode();
        fields.put("experiment", name()).put("seed", context.seed());
        StringBuilder report = new StringBuilder(
                "# placement\n\nSeed " + context.seed()
                        + ". Virtual clock. By class: share of callers answered in time, then late, refused and lost.\n\n"
                        + "| load | nodes x workers | way | digest | reply | tip | read / needed, M tokens | preempted | at full"
                        + " workers | messages/s | served in the burst | again after, ms |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n");
        for (PlacementScenario scenario : SCENARIOS) {
            for (PlacementModel.Way way : PlacementModel.Way.values()) {
                PlacementModel.Result result = new PlacementModel(scenario, way, context.seed()).run();
                String size = scenario.nodes() + " x " + scenario.workers();
                fields.withObject("/" + scenario.name() + " " + size + " " + way)
                        .put("preemptions", result.preemptions())
                        .put("readTokens", result.readTokens());
                report.append(row(scenario.name(), size, way, result));
                context.progress().println(scenario.name() + ", " + size + ", " + label(way));
            }
        }
        return new ExperimentResult(fields, report.toString(), 0);
    }

    private static String label(PlacementModel.Way way) {
        return way.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    private static String row(String load, String size, PlacementModel.Way way, PlacementModel.Result result) {
        return String.format(
                Locale.ROOT,
                "| %s | %s | %s | %s | %s | %s | %.1f / %.1f | %d | %d | %d | %d | %d |%n",
                load,
                size,
                label(way),
                cell(result.classes(), "digest"),
                cell(result.classes(), "reply"),
                cell(result.classes(), "tip"),
                result.readTokens() / 1e6,
                result.neededTokens() / 1e6,
                result.preemptions(),
                result.rejected(),
                result.messages() / 20,
                result.servedInBurst(),
                result.recoveryMillis());
    }

    private static String cell(Map<String, PlacementModel.ClassCount> classes, String name) {
        PlacementModel.ClassCount count = classes.getOrDefault(name, new PlacementModel.ClassCount());
        return String.format(
                Locale.ROOT, "%.3f (%d, %d, %d)", count.inTimeShare(), count.late, count.refused, count.lost);
    }
}
