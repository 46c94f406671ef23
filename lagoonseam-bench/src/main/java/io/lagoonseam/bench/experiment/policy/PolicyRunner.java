package io.lagoonseam.bench.experiment.policy;

import io.lagoonseam.bench.fleet.LocalFleet;
import io.lagoonseam.bench.traffic.ClassReport;
import io.lagoonseam.bench.traffic.TrafficGenerator;
import io.lagoonseam.bench.traffic.TrafficProfile;
import io.lagoonseam.bench.traffic.TrafficReport;
import io.lagoonseam.core.audit.NoopEventSink;
import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.entry.EntryNode;
import io.lagoonseam.entry.dispatch.RouterMetrics;
import io.lagoonseam.standin.engine.EngineOptions;
import io.lagoonseam.standin.engine.ModelEngineStandIn;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Runs a scenario under each compared policy, each on a local fleet of its own. */
public final class PolicyRunner {

    private static final long TIMEOUT_SECONDS = 60;
    private static final long WARM_UP_MILLIS = 2_000;
    private static final double P95 = 95;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final PolicyScenario scenario;
    private final long seed;

    /**
     * Creates a runner.
     *
     * @param scenario the fleet, traffic and faults
     * @param seed the seed of every random number generator of the run
     */
    public PolicyRunner(PolicyScenario scenario, long seed) {
        this.scenario = scenario;
        this.seed = seed;
    }

    /**
     * Runs the scenario under every compared policy, one after the other.
     *
     * @return the results in the order of {@link ComparedPolicy#all()}
     * @throws TimeoutException if the traffic does not end within 60 s, or an engine does not report its counters in
     *     time
     */
    public List<PolicyResult> runAll() throws TimeoutException {
        warmUp();
        List<PolicyResult> results = new ArrayList<>();
        for (ComparedPolicy policy : ComparedPolicy.all()) {
            results.add(run(policy));
        }
        return results;
    }

    /**
     * Runs the first policy for 2,000 ms without faults and discards the result, so that the first measured policy does
     * not pay for class loading.
     */
    private void warmUp() throws TimeoutException {
        TrafficProfile shortProfile =
                new TrafficProfile(WARM_UP_MILLIS, scenario.profile().classes());
        PolicyScenario calm = new PolicyScenario(
                scenario.name(), scenario.shape(), shortProfile, FaultScript.NONE, 1, WARM_UP_MILLIS);
        new PolicyRunner(calm, seed).run(ComparedPolicy.all().get(0));
    }

    /**
     * Runs the scenario under one policy.
     *
     * @param policy the policy
     * @return the measurements
     * @throws TimeoutException if the traffic does not end within 60 s, or an engine does not report its counters in
     *     time
     */
    public PolicyResult run(ComparedPolicy policy) throws TimeoutException {
        FleetShape shape = scenario.shape();
        EngineOptions.Builder engines =
                EngineOptions.builder().maxBatch(shape.batch()).stepMillis(shape.stepMillis());
        try (LocalFleet fleet =
                LocalFleet.start(shape.files(), shape.nodes(), seed, new NoopEventSink(), policy.policies(), engines)) {
            HttpClient client = fleet.vertx().createHttpClient();
            StepCounter stepCounter = new StepCounter(fleet, client);
            fleet.vertx().setTimer(Math.max(1, scenario.windowStartMillis()), timer -> stepCounter.recordStart());
            fleet.vertx().setTimer(scenario.windowEndMillis(), timer -> stepCounter.recordEnd());
            scenario.faults().schedule(fleet);
            Future<TrafficReport> traffic =
                    TrafficGenerator.run(fleet.vertx(), targets(fleet), fleet.fileSet(), scenario.profile(), seed);
            TrafficReport report = traffic.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            return result(policy, fleet, report, stepCounter, client);
        }
    }

    private static List<String> targets(LocalFleet fleet) {
        return fleet.nodes().stream()
                .map(node -> "http://127.0.0.1:" + node.callerPort())
                .toList();
    }

    private PolicyResult result(
            ComparedPolicy policy, LocalFleet fleet, TrafficReport report, StepCounter stepCounter, HttpClient client)
            throws TimeoutException {
        double windowSeconds = (scenario.windowEndMillis() - scenario.windowStartMillis()) / MILLIS_PER_SECOND;
        long completeAnswerTokens = report.classes().values().stream()
                .mapToLong(ClassReport::tokens)
                .sum();
        long windowTokens = report.tokensBetween(scenario.windowStartMillis(), scenario.windowEndMillis());
        long generated = sumCounter(fleet, client, "generatedTokens").await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        double wasted = generated == 0 ? 0 : Math.max(0, generated - completeAnswerTokens) / (double) generated;
        return new PolicyResult(
                policy,
                classes(fleet, report),
                windowTokens / windowSeconds,
                stepCounter.stepsInWindow() * scenario.shape().batch() / windowSeconds,
                wasted,
                report.wrongAnswers(),
                violations(fleet));
    }

    private static Map<String, ClassResult> classes(LocalFleet fleet, TrafficReport report) {
        Map<String, ClassResult> results = new LinkedHashMap<>();
        FileSet fileSet = fleet.fileSet();
        report.classes().forEach((name, classReport) -> {
            String level = fileSet.classes().get(name).serviceLevel();
            long waitMillis = fleet.nodes().stream()
                    .mapToLong(node -> RouterMetrics.longestWaitMillis(node.metrics(), name))
                    .max()
                    .orElse(0);
            double ofAnswered = classReport.answered() == 0
                    ? 0
                    : classReport.attainment() * classReport.requests() / classReport.answered();
            results.put(
                    name,
                    new ClassResult(
                            classReport.requests(),
                            classReport.answered(),
                            classReport.attainment(),
                            ofAnswered,
                            classReport.firstTokenMillis(P95),
                            classReport.betweenTokensMillis(P95),
                            waitMillis,
                            fileSet.serviceLevels().get(level).longestWaitMillis()));
        });
        return results;
    }

    private static Map<Invariant, Long> violations(LocalFleet fleet) {
        Map<Invariant, Long> violations = new EnumMap<>(Invariant.class);
        for (Invariant invariant : Invariant.values()) {
            long count = fleet.nodes().stream()
                    .map(EntryNode::invariants)
                    .mapToLong(monitor -> monitor.violations(invariant))
                    .sum();
            violations.put(invariant, count);
        }
        return violations;
    }

    private static Future<Long> sumCounter(LocalFleet fleet, HttpClient client, String counter) {
        List<Future<Long>> values = new ArrayList<>();
        for (ModelEngineStandIn engine : fleet.engines().values()) {
            RequestOptions options =
                    new RequestOptions().setMethod(HttpMethod.GET).setAbsoluteURI(engine.url() + "/counters");
            Promise<Long> value = Promise.promise();
            // Runs on an event loop: outside one, the response could end before its body handler is set.
            fleet.vertx()
                    .runOnContext(nothing -> client.request(options)
                            .compose(request -> request.send())
                            .compose(response -> response.body())
                            .map(body -> new JsonObject(body).getLong(counter))
                            .onComplete(value));
            values.add(value.future());
        }
        return Future.all(values)
                .map(all -> values.stream().mapToLong(Future::result).sum());
    }

    /** Counts the steps that the engines ran within the window, including steps without work. */
    private static final class StepCounter {

        private final LocalFleet fleet;
        private final HttpClient client;
        private Future<Long> start = Future.succeededFuture(0L);
        private Future<Long> end = Future.succeededFuture(0L);

        private StepCounter(LocalFleet fleet, HttpClient client) {
            this.fleet = fleet;
            this.client = client;
        }

        private synchronized void recordStart() {
            start = sumCounter(fleet, client, "steps");
        }

        private synchronized void recordEnd() {
            end = sumCounter(fleet, client, "steps");
        }

        private synchronized long stepsInWindow() throws TimeoutException {
            return end.await(TIMEOUT_SECONDS, TimeUnit.SECONDS) - start.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }
}
