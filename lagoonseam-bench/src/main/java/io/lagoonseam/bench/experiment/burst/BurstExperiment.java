package io.lagoonseam.bench.experiment.burst;

import io.lagoonseam.bench.experiment.Experiment;
import io.lagoonseam.bench.experiment.ExperimentContext;
import io.lagoonseam.bench.experiment.ExperimentResult;
import io.lagoonseam.bench.experiment.policy.FaultScript;
import io.lagoonseam.bench.experiment.policy.FleetShape;
import io.lagoonseam.bench.experiment.policy.PolicyReport;
import io.lagoonseam.bench.experiment.policy.PolicyRunner;
import io.lagoonseam.bench.experiment.policy.PolicyScenario;
import io.lagoonseam.bench.experiment.policy.StandardTraffic;
import io.lagoonseam.bench.traffic.RateBurst;
import io.lagoonseam.bench.traffic.TrafficProfile;

/**
 * Measures policies while one request class bursts to five times its rate.
 *
 * <p>Simulates five request classes at 0.9 of the nominal capacity of a local fleet of stand-in engines. From 1,500 to
 * 5,500 ms the burst raises the total load to one and a half times the capacity. For each compared policy it measures
 * attainment by class, goodput in tokens per second from 2,500 to 5,500 ms, waits in milliseconds and invariant
 * violations.
 */
public final class BurstExperiment implements Experiment {

    private static final double LOAD_BEFORE_BURST = 0.9;
    private static final double BURST_FACTOR = 5;
    private static final String BURSTING_CLASS = "stylist-questions";
    private static final long BURST_START_MILLIS = 1_500;
    private static final long BURST_END_MILLIS = 5_500;
    private static final long DURATION_MILLIS = 5_500;

    /** Time from the start of the burst until goodput is counted, so that the queues have filled. */
    private static final long SETTLING_MILLIS = 1_000;

    @Override
    public String name() {
        return "burst";
    }

    @Override
    public String summary() {
        return "One class bursts to 5x its rate, 1.5x total capacity; the chosen policies against two baselines";
    }

    @Override
    public ExperimentResult run(ExperimentContext context) throws Exception {
        PolicyScenario scenario = scenario();
        PolicyRunner runner = new PolicyRunner(scenario, context.seed());
        return PolicyReport.compose(scenario, runner.runAll(), context);
    }

    private static PolicyScenario scenario() {
        FleetShape shape = FleetShape.standard();
        RateBurst burst = new RateBurst(BURST_START_MILLIS, BURST_END_MILLIS, BURST_FACTOR);
        TrafficProfile profile =
                StandardTraffic.withBurst(shape, LOAD_BEFORE_BURST, BURSTING_CLASS, burst, DURATION_MILLIS);
        return new PolicyScenario(
                "burst", shape, profile, FaultScript.NONE, BURST_START_MILLIS + SETTLING_MILLIS, BURST_END_MILLIS);
    }
}
