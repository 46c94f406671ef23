package io.lagoonseam.bench.experiment.routing;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lagoonseam.bench.experiment.Experiment;
import io.lagoonseam.bench.experiment.ExperimentContext;
import io.lagoonseam.bench.experiment.ExperimentResult;
import java.util.Locale;

/**
 * Compares routing strategies under the same load in a simulation on a virtual clock.
 *
 * <p>Simulates 6 nodes before 6 workers and 60 nodes before 200 workers. For each strategy it measures percentiles of
 * the time to the first token in virtual milliseconds, the share of prefix cache hits, and the time spent on routing
 * decisions per request in microseconds of real time.
 */
public final class RoutingExperiment implements Experiment {

    /** Numbers of nodes and of workers. */
    private static final int[][] SIZES = {{6, 6}, {60, 200}};

    @Override
    public String name() {
        return "routing";
    }

    @Override
    public String summary() {
        return "Two choices, leased shares and the score with exchanged sums at 6 x 6 and 60 x 200, simulated on a virtual clock";
    }

    @Override
    public ExperimentResult run(ExperimentContext context) {
        ObjectNode fields = new ObjectMapper().createObjectNode();
        fields.put("experiment", name()).put("seed", context.seed());
        StringBuilder report = new StringBuilder("# routing\n\nSeed " + context.seed()
                + ". Virtual clock; the time of a decision is this machine's.\n\n"
                + "| nodes x workers | way | requests | first token p50 / p95 / p99 ms | prefix hits | decision µs |\n"
                + "|---|---|---|---|---|---|\n");
        for (int[] size : SIZES) {
            ObjectNode bySize = fields.putObject(size[0] + "x" + size[1]);
            for (RoutingStrategy strategy : RoutingStrategy.values()) {
                RoutingModel.Outcome outcome = new RoutingModel(strategy, size[0], size[1], context.seed()).run();
                bySize.set(strategy.label(), json(outcome));
                report.append(row(size, strategy, outcome));
            }
        }
        return new ExperimentResult(fields, report.toString(), 0);
    }

    private static ObjectNode json(RoutingModel.Outcome outcome) {
        double[] millis = outcome.firstTokenMillis();
        return new ObjectMapper()
                .createObjectNode()
                .put("requests", outcome.requests())
                .put("firstTokenP50Millis", millis[0])
                .put("firstTokenP95Millis", millis[1])
                .put("firstTokenP99Millis", millis[2])
                .put("prefixHitShare", outcome.hitShare())
                .put("decisionMicros", outcome.decisionMicros());
    }

    private static String row(int[] size, RoutingStrategy strategy, RoutingModel.Outcome outcome) {
        double[] millis = outcome.firstTokenMillis();
        return String.format(
                Locale.ROOT,
                "| %d x %d | %s | %d | %.0f / %.0f / %.0f | %.3f | %.1f |%n",
                size[0],
                size[1],
                strategy.label(),
                outcome.requests(),
                millis[0],
                millis[1],
                millis[2],
                outcome.hitShare(),
                outcome.decisionMicros());
    }
}
