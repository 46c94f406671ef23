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

/** Runs a scenario under one policy on a fleet of its own. */
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
     * @param scenario the traffic and faults
     * @param seed the seed of all random choices
     */
    public PolicyRunner(PolicyScenario scenario, long seed) {
        this.scenario = scenario;
        this.seed = seed;
    }

    /**
     * Runs the scenario under every compared policy, one after the other.
     *
     * @return the results in the order of {@link ComparedPolicy#all()}
     * @throws TimeoutException if the traffic does not end
     */
    public List<PolicyResult> runAll() throws TimeoutException {
        warmUp();
        List<PolicyResult> results = new ArrayList<>();
        for (ComparedPolicy policy : ComparedPolicy.all()) {
            results.add(run(policy));
        }
        return results;
    }

    /** Runs a short time without faults whose result is dropped, so that the first policy does not pay for loading. */
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
     * @return what it achieved
     * @throws TimeoutException if the traffic does not end
     */
    public PolicyResult run(ComparedPolicy policy) throws TimeoutException {
        FleetShape shape = scenario.shape();
        EngineOptions.Builder engines =
                EngineOptions.builder().maxBatch(shape.batch()).stepMillis(shape.stepMillis());
        try (LocalFleet fleet =
                LocalFleet.start(shape.files(), shape.nodes(), seed, new NoopEventSink(), policy.policies(), engines)) {
            HttpClient client = fleet.vertx().createHttpClient();
            StepCounter steps = new StepCounter(fleet, client);
            fleet.vertx().setTimer(Math.max(1, scenario.windowStartMillis()), timer -> steps.markStart());
            fleet.vertx().setTimer(scenario.windowEndMillis(), timer -> steps.markEnd());
            scenario.faults().schedule(fleet);
            Future<TrafficReport> traffic =
                    TrafficGenerator.run(fleet.vertx(), targets(fleet), fleet.fileSet(), scenario.profile(), seed);
            TrafficReport report = traffic.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            return result(policy, fleet, report, steps, client);
        }
    }

    private static List<String> targets(LocalFleet fleet) {
        return fleet.nodes().stream()
                .map(node -> "http://127.0.0.1:" + node.callerPort())
                .toList();
    }

    private PolicyResult result(
            ComparedPolicy policy, LocalFleet fleet, TrafficReport report, StepCounter steps, HttpClient client)
            throws TimeoutException {
        double windowSeconds = (scenario.windowEndMillis() - scenario.windowStartMillis()) / MILLIS_PER_SECOND;
        long wholeTokens = report.classes().values().stream()
                .mapToLong(ClassReport::tokens)
                .sum();
        long windowTokens = report.tokensBetween(scenario.windowStartMillis(), scenario.windowEndMillis());
        long generated = sum(fleet, client, "generatedTokens").await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        double wasted = generated == 0 ? 0 : Math.max(0, generated - wholeTokens) / (double) generated;
        return new PolicyResult(
                policy,
                classes(fleet, report),
                windowTokens / windowSeconds,
                steps.stepsInWindow() * scenario.shape().batch() / windowSeconds,
                wasted,
                report.wrongAnswers(),
                violations(fleet));
    }

    private static Map<String, ClassResult> classes(LocalFleet fleet, TrafficReport report) {
        Map<String, ClassResult> results = new LinkedHashMap<>();
        FileSet fileSet = fleet.fileSet();
        report.classes().forEach((name, seen) -> {
            String level = fileSet.classes().get(name).serviceLevel();
            long waitMillis = fleet.nodes().stream()
                    .mapToLong(node -> RouterMetrics.longestWaitMillis(node.metrics(), name))
                    .max()
                    .orElse(0);
            double ofAnswered = seen.answered() == 0 ? 0 : seen.attainment() * seen.requests() / seen.answered();
            results.put(
                    name,
                    new ClassResult(
                            seen.requests(),
                            seen.answered(),
                            seen.attainment(),
                            ofAnswered,
                            seen.firstTokenMillis(P95),
                            seen.betweenTokensMillis(P95),
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

    private static Future<Long> sum(LocalFleet fleet, HttpClient client, String counter) {
        List<Future<Long>> values = new ArrayList<>();
        for (ModelEngineStandIn engine : fleet.engines().values()) {
            RequestOptions options =
                    new RequestOptions().setMethod(HttpMethod.GET).setAbsoluteURI(engine.url() + "/counters");
            Promise<Long> value = Promise.promise();
            // on the caller's own thread the answer could end before anyone asks for its body
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

    /** The steps that the engines ran within the window, whether or not they had work. */
    private static final class StepCounter {

        private final LocalFleet fleet;
        private final HttpClient client;
        private Future<Long> start = Future.succeededFuture(0L);
        private Future<Long> end = Future.succeededFuture(0L);

        private StepCounter(LocalFleet fleet, HttpClient client) {
            this.fleet = fleet;
            this.client = client;
        }

        private synchronized void markStart() {
            start = sum(fleet, client, "steps");
        }

        private synchronized void markEnd() {
            end = sum(fleet, client, "steps");
        }

        private synchronized long stepsInWindow() throws TimeoutException {
            return end.await(TIMEOUT_SECONDS, TimeUnit.SECONDS) - start.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }
}
