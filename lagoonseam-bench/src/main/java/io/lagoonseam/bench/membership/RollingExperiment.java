package io.lagoonseam.bench.membership;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lagoonseam.bench.experiment.Experiment;
import io.lagoonseam.bench.experiment.ExperimentContext;
import io.lagoonseam.bench.experiment.ExperimentResult;
import io.lagoonseam.bench.fleet.LocalFleet;
import io.lagoonseam.bench.traffic.ClassProfile;
import io.lagoonseam.bench.traffic.ClassReport;
import io.lagoonseam.bench.traffic.TrafficGenerator;
import io.lagoonseam.bench.traffic.TrafficProfile;
import io.lagoonseam.bench.traffic.TrafficReport;
import io.lagoonseam.core.audit.NoopEventSink;
import io.lagoonseam.entry.EntryNode;
import io.lagoonseam.entry.configuration.KeyHash;
import io.lagoonseam.entry.configuration.SourceFile;
import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Replaces every node and every upstream of a fleet in one process under load. Counts the requests that were cut off,
 * wrong or refused and the work sent to an upstream more than 2,000 ms after it was announced as leaving, and measures
 * the longest stop of a node in milliseconds.
 */
public final class RollingExperiment implements Experiment {

    private static final String SALT = "00112233445566778899aabbccddeeff";
    private static final int NODES = 4;
    private static final List<List<String>> WAVES = List.of(List.of("e1", "p1"), List.of("e2", "p2"), List.of("e3"));
    private static final int FIRST_PORT = 1_001;
    private static final long LEAVE_NOTICE_LIMIT_MILLIS = 2_000;
    private static final long BALANCER_POLL_MILLIS = 200;
    private static final long DRAIN_POLL_MILLIS = 20;
    private static final long DRAIN_TIMEOUT_MILLIS = 10_000;
    private static final long TRAFFIC_MILLIS = 26_000;
    private static final long SETTLE_MILLIS = 1_500;
    private static final long RUN_TIMEOUT_SECONDS = 60;
    private static final double MODEL_REQUESTS_PER_SECOND = 30;
    private static final double PLAIN_REQUESTS_PER_SECOND = 30;

    @Override
    public String name() {
        return "rolling";
    }

    @Override
    public String summary() {
        return "Every node and every upstream replaced under load: requests cut off, work sent to a leaving upstream";
    }

    private static String fileSet() {
        StringBuilder text = new StringBuilder("""
                kind: ServiceLevel
                name: level
                firstTokenMillis: 820
                betweenTokensMillis: 27
                deadlineMillis: 20000
                longestWaitMillis: 20000
                weight: 10
                queueCapacity: 10000
                ---
                {kind: Service, name: care-llm, type: model, silenceMillis: 5000}
                ---
                {kind: Service, name: studio-app, type: plain, silenceMillis: 5000}
                ---
                {kind: Model, name: care-1, service: care-llm, version: "1"}
                ---
                {kind: RequestClass, name: aftercare, service: care-llm, serviceLevel: level, tier: urgent, idempotent: true}
                ---
                {kind: RequestClass, name: deposit, service: studio-app, serviceLevel: level, tier: urgent, idempotent: false}
                ---
                {kind: Workspace, name: regina, classes: [aftercare, deposit]}
                ---
                {kind: Key, name: regina, workspace: regina, saltHex: "%s", hashHex: "%s"}
                """.formatted(SALT, KeyHash.hash(SALT, "demo")));
        int port = FIRST_PORT;
        for (String name : WAVES.stream().flatMap(List::stream).toList()) {
            String service = name.startsWith("e") ? "care-llm" : "studio-app";
            text.append("---\nkind: Upstream\nname: %s\nservice: %s\nhost: 127.0.0.1\nport: %d\n"
                    .formatted(name, service, port));
            text.append("dataCentre: a\nconcurrency: 100\n");
            port++;
        }
        return text.toString();
    }

    private static TrafficProfile profile() {
        List<String> keys = List.of("regina.demo");
        return new TrafficProfile(
                TRAFFIC_MILLIS,
                List.of(
                        new ClassProfile("aftercare", MODEL_REQUESTS_PER_SECOND, keys, "care-1", "", 200, 60, false),
                        new ClassProfile(
                                "deposit",
                                PLAIN_REQUESTS_PER_SECOND,
                                keys,
                                "",
                                "/services/studio-app/deposits",
                                40,
                                0,
                                true)));
    }

    /** The totals of a run. */
    private static final class RunTotals {
        private long workAfterLimit;
        private long nodeViolations;
        private long nodesReplaced;
        private long upstreamsReplaced;
        private final Map<String, Long> stopMillis = new HashMap<>();
    }

    @Override
    public ExperimentResult run(ExperimentContext context) throws TimeoutException, InterruptedException {
        RunTotals totals = new RunTotals();
        try (LocalFleet fleet = LocalFleet.start(
                List.of(new SourceFile("all.yaml", fileSet())), NODES, context.seed(), new NoopEventSink())) {
            fleet.fileSet().upstreams().keySet().forEach(name -> fleet.setVmState(name, "live"));
            LoadBalancer balancer = new LoadBalancer(fleet);
            Future<TrafficReport> traffic = TrafficGenerator.run(
                    fleet.vertx(), balancer::urls, fleet.fileSet(), profile(), context.seed(), progress -> {});
            Thread.sleep(SETTLE_MILLIS);
            replaceNodes(fleet, totals, context);
            for (List<String> wave : WAVES) {
                replaceUpstreams(fleet, wave, totals, context);
            }
            TrafficReport report = traffic.await(RUN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            fleet.nodes()
                    .forEach(node -> totals.nodeViolations += node.invariants().totalViolations());
            return result(report, totals, fleet);
        }
    }

    /** Simulates a load balancer that polls every 200 ms which nodes are ready. */
    private static final class LoadBalancer {

        private volatile List<String> urls;

        private LoadBalancer(LocalFleet fleet) {
            urls = fleet.readyUrls();
            fleet.vertx().setPeriodic(BALANCER_POLL_MILLIS, timer -> urls = fleet.readyUrls());
        }

        private List<String> urls() {
            return urls;
        }
    }

    private static void replaceNodes(LocalFleet fleet, RunTotals totals, ExperimentContext context) {
        for (EntryNode node : fleet.nodes()) {
            fleet.addNode();
            long startNanos = System.nanoTime();
            fleet.stopNode(node);
            totals.stopMillis.put(
                    node.settings().nodeId(), TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
            totals.nodeViolations += node.invariants().totalViolations();
            totals.nodesReplaced++;
            context.progress().println("replaced " + node.settings().nodeId());
        }
    }

    private static void replaceUpstreams(
            LocalFleet fleet, List<String> wave, RunTotals totals, ExperimentContext context)
            throws InterruptedException {
        wave.forEach(name -> fleet.setVmState(name, "leaving"));
        Thread.sleep(LEAVE_NOTICE_LIMIT_MILLIS);
        Map<String, Long> workAtLimit = new HashMap<>();
        wave.forEach(name -> workAtLimit.put(name, totalWork(fleet.counters(name))));
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_TIMEOUT_MILLIS);
        while (wave.stream().anyMatch(name -> unfinishedWork(fleet.counters(name)) > 0)
                && System.nanoTime() < deadlineNanos) {
            Thread.sleep(DRAIN_POLL_MILLIS);
        }
        for (String name : wave) {
            totals.workAfterLimit += totalWork(fleet.counters(name)) - workAtLimit.get(name);
            fleet.replaceUpstream(name);
            fleet.setVmState(name, "live");
            totals.upstreamsReplaced++;
            context.progress().println("replaced " + name);
        }
        Thread.sleep(SETTLE_MILLIS);
    }

    private static long totalWork(JsonObject counters) {
        return counters.getLong("arrivals", 0L)
                + counters.getLong("keyedActions", 0L)
                + counters.getLong("unkeyedActions", 0L);
    }

    private static long unfinishedWork(JsonObject counters) {
        return counters.getLong("running", 0L) + counters.getLong("waiting", 0L);
    }

    private static ExperimentResult result(TrafficReport report, RunTotals totals, LocalFleet fleet) {
        long brokenAnswers = report.classes().values().stream()
                .mapToLong(ClassReport::brokenAnswers)
                .sum();
        long refused = report.classes().values().stream()
                .flatMap(classReport -> classReport.refusedByVerdict().values().stream())
                .mapToLong(Long::longValue)
                .sum();
        long notReplaced =
                NODES - totals.nodesReplaced + fleet.fileSet().upstreams().size() - totals.upstreamsReplaced;
        long violations =
                brokenAnswers + report.wrongAnswers() + totals.workAfterLimit + totals.nodeViolations + notReplaced;
        ObjectNode fields = JsonNodeFactory.instance.objectNode();
        fields.put("requests", report.requests());
        fields.put("requestsCutOff", brokenAnswers);
        fields.put("wrongAnswers", report.wrongAnswers());
        fields.put("refused", refused);
        fields.put("workToLeaverAfterTwoSeconds", totals.workAfterLimit);
        fields.put("nodesReplaced", totals.nodesReplaced);
        fields.put("upstreamsReplaced", totals.upstreamsReplaced);
        fields.put(
                "longestStopMillis",
                totals.stopMillis.values().stream()
                        .mapToLong(Long::longValue)
                        .max()
                        .orElse(0));
        fields.put("invariantViolations", violations);
        String text = String.format(
                Locale.ROOT,
                "%d nodes and %d upstreams replaced under %d requests: %d cut off, %d wrong, %d refused, %d pieces of"
                        + " work to a leaver after 2 s, longest stop %d ms%n%n%s",
                totals.nodesReplaced,
                totals.upstreamsReplaced,
                report.requests(),
                brokenAnswers,
                report.wrongAnswers(),
                refused,
                totals.workAfterLimit,
                fields.get("longestStopMillis").asLong(),
                report.table());
        return new ExperimentResult(fields, text, violations);
    }
}
