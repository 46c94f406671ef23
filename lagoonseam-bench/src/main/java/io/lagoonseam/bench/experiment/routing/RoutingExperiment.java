package io.lagoonseam.bench.experiment.routing;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lagoonseam.bench.experiment.Experiment;
import io.lagoonseam.bench.experiment.ExperimentContext;
import io.lagoonseam.bench.experiment.ExperimentResult;
import java.util.Locale;

/** Ways of routing over many nodes on the same load, on a virtual clock. */
public final class RoutingExperiment implements Experiment {

    private static final int[][] SIZES = {{6, 6}, {60, 200}};

    @Override
    public String name() {
        return "routing";
    }

    @Override
    public String summary() {
        return "Two choices, leased shares and the score with exchanged sums at 6 x 6 and 60 x 200, on a virtual clock";
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
            for (RoutingWay way : RoutingWay.values()) {
                RoutingModel.Outcome outcome = new RoutingModel(way, size[0], size[1], context.seed()).run();
                bySize.set(way.label(), json(outcome));
                report.append(row(size, way, outcome));
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

    private static String row(int[] size, RoutingWay way, RoutingModel.Outcome outcome) {
        double[] millis = outcome.firstTokenMillis();
        return String.format(
                Locale.ROOT,
                "| %d x %d | %s | %d | %.0f / %.0f / %.0f | %.3f | %.1f |%n",
                size[0],
                size[1],
                way.label(),
                outcome.requests(),
                millis[0],
                millis[1],
                millis[2],
                outcome.hitShare(),
                outcome.decisionMicros());
    }
}
