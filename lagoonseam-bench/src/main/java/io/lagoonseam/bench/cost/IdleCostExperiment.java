package io.lagoonseam.bench.cost;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lagoonseam.bench.experiment.Experiment;
import io.lagoonseam.bench.experiment.ExperimentContext;
import io.lagoonseam.bench.experiment.ExperimentResult;
import java.util.Locale;
import java.util.concurrent.TimeoutException;

/**
 * Measures the CPU time that a node without requests spends on its upstreams, as a share of one core.
 *
 * <p>Runs one node before 4, 16 and 64 stand-in engines that only report their load.
 */
public final class IdleCostExperiment implements Experiment {

    private static final int[] UPSTREAMS = {4, 16, 64};
    private static final long WARM_UP_MILLIS = 4_000;
    private static final long MEASURE_MILLIS = 6_000;

    @Override
    public String name() {
        return "idle-cost";
    }

    @Override
    public String summary() {
        return "CPU time of a node without requests, before 4, 16 and 64 upstreams";
    }

    @Override
    public ExperimentResult run(ExperimentContext context) throws TimeoutException, InterruptedException {
        ObjectNode fields = JsonNodeFactory.instance.objectNode();
        ArrayNode points = fields.putArray("points");
        StringBuilder report = new StringBuilder(
                "# Cost of a node without requests\n\n" + "| upstreams | share of a core |\n|---|---|\n");
        long violations = 0;
        for (int upstreams : UPSTREAMS) {
            try (CostBench bench = new CostBench()) {
                bench.start(context.seed(), upstreams - 1);
                Thread.sleep(WARM_UP_MILLIS);
                double share = coreShare(bench);
                points.addObject().put("upstreams", upstreams).put("coreShare", share);
                report.append(String.format(Locale.ROOT, "| %d | %.4f |%n", upstreams, share));
                violations += bench.invariantViolations();
            }
        }
        return new ExperimentResult(fields, report.toString(), violations);
    }

    private static double coreShare(CostBench bench) throws InterruptedException {
        long beforeNanos = bench.nodeCpuNanos();
        Thread.sleep(MEASURE_MILLIS);
        return (bench.nodeCpuNanos() - beforeNanos) / 1e6 / MEASURE_MILLIS;
    }
}
