package io.lagoonseam.bench.cost;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lagoonseam.bench.experiment.Experiment;
import io.lagoonseam.bench.experiment.ExperimentContext;
import io.lagoonseam.bench.experiment.ExperimentResult;
import java.util.Locale;
import java.util.concurrent.TimeoutException;

/**
 * Measures the added latency and the throughput of one node, compared with direct requests to the engine in one run.
 *
 * <p>Sends streamed completions of 8 tokens to a stand-in engine, directly and through the node. Throughput in requests
 * per second and per second of the engine's CPU time is measured at saturation with 128 requests in flight; the time to
 * the first token in milliseconds at half of the lower saturation rate.
 */
public final class RouterCostExperiment implements Experiment {

    private static final int TOKENS = 8;
    private static final int SATURATING_CONCURRENCY = 128;
    private static final int ROUNDS = 2;
    private static final long WARM_UP_MILLIS = 4_000;
    private static final long PHASE_MILLIS = 3_500;
    private static final double P50 = 50;
    private static final double P99 = 99;
    private static final double TARGET_ADDED_P50_MILLIS = 1;
    private static final double TARGET_ADDED_P99_MILLIS = 5;
    private static final double TARGET_THROUGHPUT_RATIO = 0.8;

    @Override
    public String name() {
        return "router-cost";
    }

    @Override
    public String summary() {
        return "Added first-token latency and throughput of one node, compared with direct requests to the engine";
    }

    /** Throughput at saturation, per second and per second of the engine's CPU time. */
    private record Saturation(double requestsPerSecond, double requestsPerEngineCoreSecond) {}

    @Override
    public ExperimentResult run(ExperimentContext context) throws TimeoutException, InterruptedException {
        try (CostBench bench = new CostBench()) {
            bench.start(context.seed());
            CompletionProbe direct = bench.directProbe(TOKENS);
            CompletionProbe routed = bench.routedProbe(TOKENS);
            context.progress().println("warm-up");
            CostBench.await(direct.closedLoop(SATURATING_CONCURRENCY, WARM_UP_MILLIS));
            CostBench.await(routed.closedLoop(SATURATING_CONCURRENCY, WARM_UP_MILLIS));
            context.progress().println("saturation");
            Saturation directLimit = saturate(bench, direct);
            Saturation routedLimit = saturate(bench, routed);
            double halfLoad = Math.min(directLimit.requestsPerSecond(), routedLimit.requestsPerSecond()) / 2;
            context.progress().println("half load, direct and routed in turn");
            Latency latency = measure(direct, routed, halfLoad);
            return result(directLimit, routedLimit, halfLoad, latency, bench.invariantViolations());
        }
    }

    private static Saturation saturate(CostBench bench, CompletionProbe probe) throws TimeoutException {
        long cpuBeforeNanos = bench.engineCpuNanos();
        long startNanos = System.nanoTime();
        CompletionProbe.Phase phase = CostBench.await(probe.closedLoop(SATURATING_CONCURRENCY, PHASE_MILLIS));
        double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
        double cpuSeconds = (bench.engineCpuNanos() - cpuBeforeNanos) / 1e9;
        return new Saturation(phase.completed() / elapsedSeconds, phase.completed() / cpuSeconds);
    }

    /** The percentiles of direct and routed requests, each the mean over the rounds. */
    private static final class Latency {

        private double directP50Millis;
        private double directP99Millis;
        private double routedP50Millis;
        private double routedP99Millis;
        private long failed;

        private double addedP50Millis() {
            return routedP50Millis - directP50Millis;
        }

        private double addedP99Millis() {
            return routedP99Millis - directP99Millis;
        }
    }

    private static Latency measure(CompletionProbe direct, CompletionProbe routed, double requestsPerSecond)
            throws TimeoutException {
        Latency latency = new Latency();
        for (int round = 0; round < ROUNDS; round++) {
            CompletionProbe.Phase directPhase = CostBench.await(direct.openLoop(requestsPerSecond, PHASE_MILLIS));
            CompletionProbe.Phase routedPhase = CostBench.await(routed.openLoop(requestsPerSecond, PHASE_MILLIS));
            latency.directP50Millis += directPhase.firstTokenMillis(P50) / ROUNDS;
            latency.directP99Millis += directPhase.firstTokenMillis(P99) / ROUNDS;
            latency.routedP50Millis += routedPhase.firstTokenMillis(P50) / ROUNDS;
            latency.routedP99Millis += routedPhase.firstTokenMillis(P99) / ROUNDS;
            latency.failed += directPhase.failed() + routedPhase.failed();
        }
        return latency;
    }

    private static ExperimentResult result(
            Saturation direct, Saturation routed, double halfLoad, Latency latency, long violations) {
        double perCoreRatio = routed.requestsPerEngineCoreSecond() / direct.requestsPerEngineCoreSecond();
        ObjectNode fields = JsonNodeFactory.instance.objectNode();
        fields.put("directRequestsPerSecond", direct.requestsPerSecond());
        fields.put("routedRequestsPerSecond", routed.requestsPerSecond());
        fields.put("directRequestsPerEngineCoreSecond", direct.requestsPerEngineCoreSecond());
        fields.put("routedRequestsPerEngineCoreSecond", routed.requestsPerEngineCoreSecond());
        fields.put("throughputPerEngineCoreRatio", perCoreRatio);
        fields.put("halfLoadRequestsPerSecond", halfLoad);
        fields.put("directFirstTokenP50Millis", latency.directP50Millis);
        fields.put("directFirstTokenP99Millis", latency.directP99Millis);
        fields.put("addedFirstTokenP50Millis", latency.addedP50Millis());
        fields.put("addedFirstTokenP99Millis", latency.addedP99Millis());
        fields.put("failedRequests", latency.failed);
        fields.put("meetsAddedP50", latency.addedP50Millis() < TARGET_ADDED_P50_MILLIS);
        fields.put("meetsAddedP99", latency.addedP99Millis() < TARGET_ADDED_P99_MILLIS);
        fields.put("meetsThroughputRatio", perCoreRatio >= TARGET_THROUGHPUT_RATIO);
        String report = String.format(
                Locale.ROOT,
                "# Router cost%n%n"
                        + "| way | requests/s | per engine core second | first token p50 ms | p99 ms |%n|---|---|---|---|---|%n"
                        + "| direct | %.0f | %.0f | %.2f | %.2f |%n| through one node | %.0f | %.0f | %.2f | %.2f |%n%n"
                        + "At %.0f requests/s the node adds %.2f ms at p50 (target below 1) and %.2f ms at p99 (below 5).%n"
                        + "Throughput per core spent by the engine: %.2f of direct (target at least 0.8).%n",
                direct.requestsPerSecond(),
                direct.requestsPerEngineCoreSecond(),
                latency.directP50Millis,
                latency.directP99Millis,
                routed.requestsPerSecond(),
                routed.requestsPerEngineCoreSecond(),
                latency.routedP50Millis,
                latency.routedP99Millis,
                halfLoad,
                latency.addedP50Millis(),
                latency.addedP99Millis(),
                perCoreRatio);
        return new ExperimentResult(fields, report, violations);
    }
}
