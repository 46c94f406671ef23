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
 * Measures the CPU time that a node spends on each request and on each token, in microseconds.
 *
 * <p>Sends 100 requests per second through one node to a stand-in engine, with answers of 8, 32 and 128 tokens. The CPU
 * time of the idle node is subtracted. The slope of a least-squares line over the answer lengths gives the time for
 * each token, its intercept the time for each request.
 */
public final class EntryCostExperiment implements Experiment {

    private static final int[] TOKENS = {8, 32, 128};
    private static final double REQUESTS_PER_SECOND = 100;
    private static final long WARM_UP_MILLIS = 4_000;
    private static final long PHASE_MILLIS = 4_000;
    private static final int WARM_UP_CONCURRENCY = 16;

    @Override
    public String name() {
        return "entry-cost";
    }

    @Override
    public String summary() {
        return "CPU time that a node spends on a request and on a token, as a slope over answer lengths";
    }

    /** The mean CPU time of the node for one request with an answer of the given length; printed as progress. */
    private record Point(int tokens, double nodeMicros) {}

    @Override
    public ExperimentResult run(ExperimentContext context) throws TimeoutException, InterruptedException {
        Point[] points = new Point[TOKENS.length];
        try (CostBench bench = new CostBench()) {
            bench.start(context.seed());
            context.progress().println("warm-up");
            CostBench.await(bench.routedProbe(TOKENS[1]).closedLoop(WARM_UP_CONCURRENCY, WARM_UP_MILLIS));
            double idleNanosPerMilli = idleNanosPerMilli(bench);
            for (int index = 0; index < TOKENS.length; index++) {
                points[index] = measure(bench, TOKENS[index], idleNanosPerMilli);
                context.progress().println(points[index]);
            }
            return result(points, idleNanosPerMilli, bench.invariantViolations());
        }
    }

    private static double idleNanosPerMilli(CostBench bench) throws InterruptedException {
        long beforeNanos = bench.nodeCpuNanos();
        Thread.sleep(PHASE_MILLIS);
        return (double) (bench.nodeCpuNanos() - beforeNanos) / PHASE_MILLIS;
    }

    private static Point measure(CostBench bench, int tokens, double idleNanosPerMilli) throws TimeoutException {
        CompletionProbe probe = bench.routedProbe(tokens);
        long beforeNanos = bench.nodeCpuNanos();
        long startNanos = System.nanoTime();
        CompletionProbe.Phase phase = CostBench.await(probe.openLoop(REQUESTS_PER_SECOND, PHASE_MILLIS));
        double elapsedMillis = (System.nanoTime() - startNanos) / 1e6;
        double busyNanos = bench.nodeCpuNanos() - beforeNanos - idleNanosPerMilli * elapsedMillis;
        return new Point(tokens, busyNanos / 1_000 / phase.completed());
    }

    private static ExperimentResult result(Point[] points, double idleNanosPerMilli, long violations) {
        double slope = slope(points);
        double intercept = points[0].nodeMicros() - slope * points[0].tokens();
        double idleShare = idleNanosPerMilli / 1e6;
        ObjectNode fields = JsonNodeFactory.instance.objectNode();
        ArrayNode list = fields.putArray("points");
        StringBuilder report =
                new StringBuilder("# Cost of a request at a node\n\n| tokens | node us a request |\n|---|---|\n");
        for (Point point : points) {
            list.addObject().put("tokens", point.tokens()).put("nodeMicros", point.nodeMicros());
            report.append(String.format(Locale.ROOT, "| %d | %.0f |%n", point.tokens(), point.nodeMicros()));
        }
        fields.put("microsPerToken", slope);
        fields.put("microsPerRequest", intercept);
        fields.put("idleCoreShare", idleShare);
        report.append(String.format(
                Locale.ROOT,
                "%n%.0f us for a request, %.1f us for each token, %.4f of a core when idle.%n",
                intercept,
                slope,
                idleShare));
        return new ExperimentResult(fields, report.toString(), violations);
    }

    /** Returns the least-squares slope of the node's CPU time over the answer length, in microseconds per token. */
    private static double slope(Point[] points) {
        double meanTokens = 0;
        double meanMicros = 0;
        for (Point point : points) {
            meanTokens += (double) point.tokens() / points.length;
            meanMicros += point.nodeMicros() / points.length;
        }
        double covariance = 0;
        double variance = 0;
        for (Point point : points) {
            covariance += (point.tokens() - meanTokens) * (point.nodeMicros() - meanMicros);
            variance += (point.tokens() - meanTokens) * (point.tokens() - meanTokens);
        }
        return covariance / variance;
    }
}
