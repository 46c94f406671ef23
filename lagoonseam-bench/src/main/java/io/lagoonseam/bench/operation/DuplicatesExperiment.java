package io.lagoonseam.bench.operation;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lagoonseam.bench.experiment.Experiment;
import io.lagoonseam.bench.experiment.ExperimentContext;
import io.lagoonseam.bench.experiment.ExperimentResult;
import java.util.Locale;

/**
 * Simulates callers that retry keyed actions at random through other nodes, without other faults, at 10, 100 and 1,400
 * actions per second. Measures the added latency in milliseconds and the platform writes per second and per action, for
 * the sharded journal and for one platform object per action, and counts violations of the correctness rules.
 */
public final class DuplicatesExperiment implements Experiment {

    private static final double[] RATES_PER_SECOND = {10, 100, 1_400};
    private static final int SPAN_SECONDS = 20;
    private static final String ROW = "| %s | %.0f | %d | %d | %.1f | %.3f | %d |%n";

    @Override
    public String name() {
        return "duplicates";
    }

    @Override
    public String summary() {
        return "keyed actions retried through other nodes, in virtual time: cost and correctness of the journal";
    }

    @Override
    public ExperimentResult run(ExperimentContext context) {
        ObjectNode fields = JsonNodeFactory.instance.objectNode();
        ArrayNode runs = fields.putArray("runs");
        StringBuilder report = new StringBuilder("# Keyed actions sent again through other nodes\n\n"
                + "Virtual time, 8 nodes in 2 data centres, the platform answers in 5 ms.\n\n"
                + "| journal | actions/s | added p50 ms | added p99 ms | writes/s | writes/action | violations |\n"
                + "|---|---|---|---|---|---|---|\n");
        long violations = 0;
        for (double rate : RATES_PER_SECOND) {
            int actions = (int) (rate * SPAN_SECONDS);
            context.progress().println("running " + rate + " actions/s");
            JournalRunResult sharded = new JournalRun(context.seed()).runWithoutFaults(actions, rate);
            JournalRunResult single = BaselineRun.runWithoutFaults(context.seed(), actions, rate);
            violations += sharded.violations();
            append(runs, report, "shards", rate, sharded);
            append(runs, report, "one object each", rate, single);
        }
        fields.put("invariantViolations", violations);
        return new ExperimentResult(fields, report.toString(), violations);
    }

    private static void append(
            ArrayNode runs, StringBuilder report, String journal, double rate, JournalRunResult result) {
        ObjectNode run = runs.addObject().put("journal", journal).put("actionsPerSecond", rate);
        result.writeCorrectness(run);
        result.writeCost(run);
        report.append(String.format(
                Locale.ROOT,
                ROW,
                journal,
                rate,
                result.medianMillis(),
                result.p99Millis(),
                result.writesPerSecond(),
                result.writesPerAction(),
                result.violations()));
    }
}
