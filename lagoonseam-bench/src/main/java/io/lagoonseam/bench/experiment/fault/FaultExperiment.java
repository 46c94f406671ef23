package io.lagoonseam.bench.experiment.fault;

import io.lagoonseam.bench.experiment.Experiment;
import io.lagoonseam.bench.experiment.ExperimentContext;
import io.lagoonseam.bench.experiment.ExperimentResult;
import io.lagoonseam.bench.experiment.policy.FaultScript;
import io.lagoonseam.bench.experiment.policy.FleetShape;
import io.lagoonseam.bench.experiment.policy.PolicyReport;
import io.lagoonseam.bench.experiment.policy.PolicyRunner;
import io.lagoonseam.bench.experiment.policy.PolicyScenario;
import io.lagoonseam.bench.experiment.policy.StandardTraffic;
import io.vertx.core.json.JsonObject;

/**
 * Measures policies while stand-in engines fail under traffic.
 *
 * <p>Simulates five request classes at half of the nominal capacity of a local fleet of three nodes and six engines,
 * for 6,500 ms, with faults from 2,000 ms on. For each compared policy it measures attainment by class, goodput in
 * tokens per second from the first fault on, waits in milliseconds and invariant violations.
 */
public final class FaultExperiment implements Experiment {

    private static final FleetShape SHAPE = new FleetShape(3, 6, 12, 12, 10);
    private static final double LOAD = 0.5;
    private static final long DURATION_MILLIS = 6_500;
    private static final long FAULT_MILLIS = 2_000;
    private static final long SECOND_FAULT_MILLIS = 4_200;
    private static final long OUTAGE_MILLIS = 1_800;
    private static final double STRAGGLER_FACTOR = 5;
    private static final long STRAGGLER_REPORT_LAG_MILLIS = 2_000;
    private static final double UNRESPONSIVE_SHARE = 1.0 / 3;
    private static final long RESPONSE_DELAY_MILLIS = 400;

    private final String name;
    private final String summary;
    private final FaultScript faults;

    private FaultExperiment(String name, String summary, FaultScript faults) {
        this.name = name;
        this.summary = summary;
        this.faults = faults;
    }

    /**
     * Creates the experiment in which one engine becomes five times slower and its load reports lag by 2,000 ms.
     *
     * @return the experiment
     */
    public static FaultExperiment straggler() {
        JsonObject slowdown = new JsonObject()
                .put("slowFactor", STRAGGLER_FACTOR)
                .put("reportLagMillis", STRAGGLER_REPORT_LAG_MILLIS);
        return new FaultExperiment(
                "straggler",
                "One engine 5x slower with lagging load reports; the chosen policies against two baselines",
                new EngineFaults().at(FAULT_MILLIS, 0, slowdown));
    }

    /**
     * Creates the experiment in which two engines crash one after the other, each for 1,800 ms.
     *
     * @return the experiment
     */
    public static FaultExperiment crash() {
        JsonObject crashed = new JsonObject().put("crashed", true);
        JsonObject recovered = new JsonObject().put("crashed", false);
        return new FaultExperiment(
                "crash",
                "Two engines crash while answering, one after the other; the chosen policies against two baselines",
                new EngineFaults()
                        .at(FAULT_MILLIS, 1, crashed)
                        .at(FAULT_MILLIS + OUTAGE_MILLIS, 1, recovered)
                        .at(SECOND_FAULT_MILLIS, 3, crashed)
                        .at(SECOND_FAULT_MILLIS + OUTAGE_MILLIS, 3, recovered));
    }

    /**
     * Creates the experiment in which a third of the open connections become unresponsive, twice.
     *
     * @return the experiment
     */
    public static FaultExperiment silent() {
        JsonObject unresponsive = new JsonObject().put("silenceShare", UNRESPONSIVE_SHARE);
        return new FaultExperiment(
                "silent",
                "A third of the open connections become unresponsive, twice; the chosen policies against two baselines",
                new EngineFaults()
                        .at(FAULT_MILLIS, EngineFaults.ALL, unresponsive)
                        .at(SECOND_FAULT_MILLIS, EngineFaults.ALL, unresponsive));
    }

    /**
     * Creates the experiment in which one engine mismatches its responses, each with the id of another request, and
     * another engine sends them 400 ms late.
     *
     * @return the experiment
     */
    public static FaultExperiment crossed() {
        return new FaultExperiment(
                "crossed",
                "One engine mismatches its responses, another sends them late; the chosen policies against two baselines",
                new EngineFaults()
                        .at(FAULT_MILLIS, 0, new JsonObject().put("crossed", true))
                        .at(FAULT_MILLIS + OUTAGE_MILLIS, 0, new JsonObject().put("crossed", false))
                        .at(FAULT_MILLIS, 2, new JsonObject().put("lateMillis", RESPONSE_DELAY_MILLIS))
                        .at(SECOND_FAULT_MILLIS, 2, new JsonObject().put("lateMillis", 0)));
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public String summary() {
        return summary;
    }

    @Override
    public ExperimentResult run(ExperimentContext context) throws Exception {
        PolicyScenario scenario = new PolicyScenario(
                name,
                SHAPE,
                StandardTraffic.constant(SHAPE, LOAD, DURATION_MILLIS),
                faults,
                FAULT_MILLIS,
                DURATION_MILLIS);
        return PolicyReport.compose(scenario, new PolicyRunner(scenario, context.seed()).runAll(), context);
    }
}
