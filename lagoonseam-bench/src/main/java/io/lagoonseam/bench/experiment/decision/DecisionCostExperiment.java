package io.lagoonseam.bench.experiment.decision;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lagoonseam.bench.experiment.Experiment;
import io.lagoonseam.bench.experiment.ExperimentContext;
import io.lagoonseam.bench.experiment.ExperimentResult;
import io.lagoonseam.bench.experiment.policy.ComparedPolicy;
import java.util.Collection;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.openjdk.jmh.runner.options.VerboseMode;

/**
 * Measures the mean time of one admission and one routing decision with JMH.
 *
 * <p>Runs {@link DecisionCostBenchmark} for the chosen policies and for a baseline in the same run, at several numbers
 * of workers. Times are in nanoseconds per decision; the target of 20,000 ns applies at 200 workers.
 */
public final class DecisionCostExperiment implements Experiment {

    private static final long ITERATION_MILLIS = 400;
    private static final int WARM_UP_ITERATIONS = 3;
    private static final int ITERATIONS = 3;
    private static final int TARGET_WORKERS = 200;
    private static final double TARGET_NANOS = 20_000;

    @Override
    public String name() {
        return "decision-cost";
    }

    @Override
    public String summary() {
        return "The cost of one admission and one routing decision at 10, 200 and 1,000 workers";
    }

    @Override
    public ExperimentResult run(ExperimentContext context) throws Exception {
        Options options = new OptionsBuilder()
                .include(DecisionCostBenchmark.class.getName())
                .forks(0)
                .warmupIterations(WARM_UP_ITERATIONS)
                .warmupTime(TimeValue.milliseconds(ITERATION_MILLIS))
                .measurementIterations(ITERATIONS)
                .measurementTime(TimeValue.milliseconds(ITERATION_MILLIS))
                .verbosity(VerboseMode.SILENT)
                .build();
        Map<Integer, Map<String, Double>> nanosByWorkers = collect(new Runner(options).run());
        return result(nanosByWorkers);
    }

    private static Map<Integer, Map<String, Double>> collect(Collection<RunResult> results) {
        Map<Integer, Map<String, Double>> nanos = new TreeMap<>();
        for (RunResult result : results) {
            int workers = Integer.parseInt(result.getParams().getParam("workers"));
            nanos.computeIfAbsent(workers, count -> new TreeMap<>())
                    .put(
                            result.getParams().getParam("policy"),
                            result.getPrimaryResult().getScore());
        }
        return nanos;
    }

    private static ExperimentResult result(Map<Integer, Map<String, Double>> nanosByWorkers) {
        ObjectNode fields = new ObjectMapper().createObjectNode();
        ArrayNode rows = fields.putArray("decisions");
        StringBuilder report = new StringBuilder(
                "# decision-cost\n\nAt 0 workers, admission alone. A node uses 64 workers of a larger service.\n\n");
        report.append("| workers | chosen ns | baseline ns | ratio |\n|---|---|---|---|\n");
        nanosByWorkers.forEach((workers, nanos) -> {
            double chosen = nanos.get(ComparedPolicy.CHOSEN);
            double baseline = nanos.entrySet().stream()
                    .filter(entry -> !entry.getKey().equals(ComparedPolicy.CHOSEN))
                    .mapToDouble(Map.Entry::getValue)
                    .findFirst()
                    .orElseThrow();
            rows.addObject()
                    .put("workers", workers)
                    .put("chosenNanos", chosen)
                    .put("baselineNanos", baseline)
                    .put("ratio", chosen / baseline);
            report.append(String.format(
                    Locale.ROOT, "| %d | %.0f | %.0f | %.2f |%n", workers, chosen, baseline, chosen / baseline));
        });
        double atTarget = nanosByWorkers.get(TARGET_WORKERS).get(ComparedPolicy.CHOSEN);
        fields.put("targetNanos", TARGET_NANOS)
                .put("targetMet", atTarget <= TARGET_NANOS)
                .put("invariantViolations", 0);
        return new ExperimentResult(fields, report.toString(), 0);
    }
}
