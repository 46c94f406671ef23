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

/** Replaces every node and every upstream under load and looks for what was cut off or sent to a leaver. */
public final class RollingExperiment implements Experiment {

    private static final String SALT = "00112233445566778899aabbccddeeff";
    private static final int NODES = 4;
    private static final List<List<String>> WAVES = List.of(List.of("e1", "p1"), List.of("e2", "p2"), List.of("e3"));
    private static final int FIRST_PORT = 1_001;
    private static final long LIMIT_MILLIS = 2_000;
    private static final long BALANCER_LAG_MILLIS = 200;
    private static final long QUIET_POLL_MILLIS = 20;
    private static final long DRAIN_LIMIT_MILLIS = 10_000;
    private static final long TRAFFIC_MILLIS = 26_000;
    private static final long SETTLE_MILLIS = 1_500;
    private static final long RUN_LIMIT_SECONDS = 60;
    private static final double MODEL_RATE = 30;
    private static final double PLAIN_RATE = 30;

    @Override
    public String name() {
        return "rolling";
    }

    @Override
    public String summary() {
        return "Every node and every upstream replaced under load: requests cut off, work sent to a leaver";
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
                        new ClassProfile("aftercare", MODEL_RATE, keys, "care-1", "", 200, 60, false),
                        new ClassProfile(
                                "deposit", PLAIN_RATE, keys, "", "/services/studio-app/deposits", 40, 0, true)));
    }

    /** What the run adds up. */
    private static final class Tally {
        private long lateWork;
        private long nodeViolations;
        private long nodesReplaced;
        private long upstreamsReplaced;
        private final Map<String, Long> stopMillis = new HashMap<>();
    }

    @Override
    public ExperimentResult run(ExperimentContext context) throws TimeoutException, InterruptedException {
        Tally tally = new Tally();
        try (LocalFleet fleet = LocalFleet.start(
                List.of(new SourceFile("all.yaml", fileSet())), NODES, context.seed(), new NoopEventSink())) {
            fleet.fileSet().upstreams().keySet().forEach(name -> fleet.setVm(name, "live"));
            Balancer balancer = new Balancer(fleet);
            Future<TrafficReport> traffic = TrafficGenerator.run(
                    fleet.vertx(), balancer::urls, fleet.fileSet(), profile(), context.seed(), progress -> {});
            Thread.sleep(SETTLE_MILLIS);
            replaceNodes(fleet, tally, context);
            for (List<String> wave : WAVES) {
                replaceUpstreams(fleet, wave, tally, context);
            }
            TrafficReport report = traffic.await(RUN_LIMIT_SECONDS, TimeUnit.SECONDS);
            fleet.nodes()
                    .forEach(node -> tally.nodeViolations += node.invariants().totalViolations());
            return result(report, tally, fleet);
        }
    }

    /** Sends to the nodes that were ready a moment ago. */
    private static final class Balancer {

        private volatile List<String> urls;

        private Balancer(LocalFleet fleet) {
            urls = fleet.readyUrls();
            fleet.vertx().setPeriodic(BALANCER_LAG_MILLIS, timer -> urls = fleet.readyUrls());
        }

        private List<String> urls() {
            return urls;
        }
    }

    private static void replaceNodes(LocalFleet fleet, Tally tally, ExperimentContext context) {
        for (EntryNode node : fleet.nodes()) {
            fleet.addNode();
            long startNanos = System.nanoTime();
            fleet.stopNode(node);
            tally.stopMillis.put(
                    node.settings().nodeId(), TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
            tally.nodeViolations += node.invariants().totalViolations();
            tally.nodesReplaced++;
            context.progress().println("replaced " + node.settings().nodeId());
        }
    }

    private static void replaceUpstreams(LocalFleet fleet, List<String> wave, Tally tally, ExperimentContext context)
            throws InterruptedException {
        wave.forEach(name -> fleet.setVm(name, "leaving"));
        Thread.sleep(LIMIT_MILLIS);
        Map<String, Long> workAtLimit = new HashMap<>();
        wave.forEach(name -> workAtLimit.put(name, work(fleet.counters(name))));
        long limitNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_LIMIT_MILLIS);
        while (wave.stream().anyMatch(name -> running(fleet.counters(name)) > 0) && System.nanoTime() < limitNanos) {
            Thread.sleep(QUIET_POLL_MILLIS);
        }
        for (String name : wave) {
            tally.lateWork += work(fleet.counters(name)) - workAtLimit.get(name);
            fleet.replaceUpstream(name);
            fleet.setVm(name, "live");
            tally.upstreamsReplaced++;
            context.progress().println("replaced " + name);
        }
        Thread.sleep(SETTLE_MILLIS);
    }

    private static long work(JsonObject counters) {
        return counters.getLong("arrivals", 0L)
                + counters.getLong("keyedActions", 0L)
                + counters.getLong("unkeyedActions", 0L);
    }

    private static long running(JsonObject counters) {
        return counters.getLong("running", 0L) + counters.getLong("waiting", 0L);
    }

    private static ExperimentResult result(TrafficReport report, Tally tally, LocalFleet fleet) {
        long brokenAnswers = report.classes().values().stream()
                .mapToLong(ClassReport::brokenAnswers)
                .sum();
        long refused = report.classes().values().stream()
                .flatMap(one -> one.refusedByVerdict().values().stream())
                .mapToLong(Long::longValue)
                .sum();
        long unreplaced =
                NODES - tally.nodesReplaced + fleet.fileSet().upstreams().size() - tally.upstreamsReplaced;
        long violations = brokenAnswers + report.wrongAnswers() + tally.lateWork + tally.nodeViolations + unreplaced;
        ObjectNode fields = JsonNodeFactory.instance.objectNode();
        fields.put("requests", report.requests());
        fields.put("requestsCutOff", brokenAnswers);
        fields.put("wrongAnswers", report.wrongAnswers());
        fields.put("refused", refused);
        fields.put("workToLeaverAfterTwoSeconds", tally.lateWork);
        fields.put("nodesReplaced", tally.nodesReplaced);
        fields.put("upstreamsReplaced", tally.upstreamsReplaced);
        fields.put(
                "longestStopMillis",
                tally.stopMillis.values().stream()
                        .mapToLong(Long::longValue)
                        .max()
                        .orElse(0));
        fields.put("invariantViolations", violations);
        String text = String.format(
                Locale.ROOT,
                "%d nodes and %d upstreams replaced under %d requests: %d cut off, %d wrong, %d refused, %d pieces of"
                        + " work to a leaver after 2 s, longest stop %d ms%n%n%s",
                tally.nodesReplaced,
                tally.upstreamsReplaced,
                report.requests(),
                brokenAnswers,
                report.wrongAnswers(),
                refused,
                tally.lateWork,
                fields.get("longestStopMillis").asLong(),
                report.table());
        return new ExperimentResult(fields, text, violations);
    }
}
