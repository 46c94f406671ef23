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

/** Traffic below the capacity of six engines, some of which fail on the way. */
public final class FaultExperiment implements Experiment {

    private static final FleetShape SHAPE = new FleetShape(3, 6, 4, 12, 10);
    private static final double LOAD = 0.5;
    private static final long DURATION_MILLIS = 7_000;
    private static final long FAULT_MILLIS = 2_000;
    private static final long SECOND_FAULT_MILLIS = 4_500;
    private static final long OUTAGE_MILLIS = 2_000;
    private static final double STRAGGLER_FACTOR = 5;
    private static final long STRAGGLER_REPORT_LAG_MILLIS = 2_000;
    private static final double SILENT_SHARE = 1.0 / 3;
    private static final long LATE_MILLIS = 400;

    private final String name;
    private final String summary;
    private final FaultScript faults;

    private FaultExperiment(String name, String summary, FaultScript faults) {
        this.name = name;
        this.summary = summary;
        this.faults = faults;
    }

    /**
     * Returns the experiment in which an engine becomes slow.
     *
     * @return the experiment
     */
    public static FaultExperiment straggler() {
        JsonObject slow = new JsonObject()
                .put("slowFactor", STRAGGLER_FACTOR)
                .put("reportLagMillis", STRAGGLER_REPORT_LAG_MILLIS);
        return new FaultExperiment(
                "straggler",
                "One engine 5x slower with a lagging report, beside two baselines",
                new EngineFaults().at(FAULT_MILLIS, 0, slow));
    }

    /**
     * Returns the experiment in which engines crash and come back.
     *
     * @return the experiment
     */
    public static FaultExperiment crash() {
        JsonObject down = new JsonObject().put("crashed", true);
        JsonObject up = new JsonObject().put("crashed", false);
        return new FaultExperiment(
                "crash",
                "Two engines die mid-answer, one after the other, beside two baselines",
                new EngineFaults()
                        .at(FAULT_MILLIS, 1, down)
                        .at(FAULT_MILLIS + OUTAGE_MILLIS, 1, up)
                        .at(SECOND_FAULT_MILLIS, 3, down)
                        .at(SECOND_FAULT_MILLIS + OUTAGE_MILLIS, 3, up));
    }

    /**
     * Returns the experiment in which connections go silent.
     *
     * @return the experiment
     */
    public static FaultExperiment silent() {
        JsonObject silence = new JsonObject().put("silenceShare", SILENT_SHARE);
        return new FaultExperiment(
                "silent",
                "A third of the open connections go silent, twice, beside two baselines",
                new EngineFaults()
                        .at(FAULT_MILLIS, EngineFaults.ALL, silence)
                        .at(SECOND_FAULT_MILLIS, EngineFaults.ALL, silence));
    }

    /**
     * Returns the experiment in which answers are crossed or late.
     *
     * @return the experiment
     */
    public static FaultExperiment crossed() {
        return new FaultExperiment(
                "crossed",
                "One engine crosses its answers, another sends them late, beside two baselines",
                new EngineFaults()
                        .at(FAULT_MILLIS, 0, new JsonObject().put("crossed", true))
                        .at(FAULT_MILLIS + OUTAGE_MILLIS, 0, new JsonObject().put("crossed", false))
                        .at(FAULT_MILLIS, 2, new JsonObject().put("lateMillis", LATE_MILLIS))
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
