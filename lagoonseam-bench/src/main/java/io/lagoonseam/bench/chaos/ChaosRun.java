package io.lagoonseam.bench.chaos;

import io.lagoonseam.bench.fleet.ActionRunCounts;
import io.lagoonseam.bench.fleet.LocalFleet;
import io.lagoonseam.bench.traffic.ClassProfile;
import io.lagoonseam.bench.traffic.ClassReport;
import io.lagoonseam.bench.traffic.TrafficGenerator;
import io.lagoonseam.bench.traffic.TrafficProfile;
import io.lagoonseam.bench.traffic.TrafficReport;
import io.lagoonseam.core.configuration.Generation;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.entry.EntryNode;
import io.vertx.core.Future;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;

/**
 * Executes one chaos run: sends traffic, injects the planned faults, waits for a recovery period without faults, and
 * checks answers, actions, configuration generations and invariants.
 */
final class ChaosRun {

    private static final double BURST_FACTOR = 5;
    /** Time without faults and traffic before the final checks. */
    private static final long RECOVERY_MILLIS = 4_000;

    private static final long FINAL_TRAFFIC_MILLIS = 1_500;
    private static final long TIMEOUT_SECONDS = 120;
    /** Added to the seed of the run, so that the final traffic differs from the main traffic and the bursts. */
    private static final int FINAL_TRAFFIC_SEED_OFFSET = 1_000_003;

    private final LocalFleet fleet;
    private final TrafficProfile profile;
    private final List<PlannedFault> schedule;
    private final EventRecorder events;
    private final PrintStream progress;
    private final long seed;
    private final FaultInjector injector;
    private final List<Future<TrafficReport>> bursts = new ArrayList<>();
    private final Map<String, Long> violations = new TreeMap<>();

    ChaosRun(
            LocalFleet fleet,
            TrafficProfile profile,
            List<PlannedFault> schedule,
            EventRecorder events,
            PrintStream progress,
            long seed) {
        this.fleet = fleet;
        this.profile = profile;
        this.schedule = schedule;
        this.events = events;
        this.progress = progress;
        this.seed = seed;
        this.injector = new FaultInjector(fleet);
    }

    /**
     * The result of a run.
     *
     * @param traffic the report of the main traffic, without bursts and without the final traffic
     * @param faults the number of injected faults by kind
     * @param violations the number of violations by name of the check
     * @param actions the number of distinct keyed actions that ran
     * @param aroundFirstViolation the log lines around the first violated invariant, empty without one
     */
    record Outcome(
            TrafficReport traffic,
            Map<FaultKind, Integer> faults,
            Map<String, Long> violations,
            long actions,
            List<String> aroundFirstViolation) {

        long totalViolations() {
            return violations.values().stream().mapToLong(Long::longValue).sum();
        }
    }

    Outcome run() throws InterruptedException, TimeoutException {
        Future<TrafficReport> traffic = send(profile, seed);
        runSchedule();
        TrafficReport report = traffic.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        List<TrafficReport> reports = new ArrayList<>(List.of(report));
        for (Future<TrafficReport> burst : bursts) {
            reports.add(burst.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
        Thread.sleep(RECOVERY_MILLIS);
        checkEveryClassIsServed();
        checkGenerations();
        ActionRunCounts runCounts = new ActionRunCounts(fleet);
        reports.forEach(this::checkAnswers);
        addViolations("actionsRunTwice", runCounts.countRunTwice());
        for (TrafficReport each : reports) {
            addViolations("falseNotRun", runCounts.countRan(each.keysNotRun()));
        }
        checkInvariantMonitors();
        return new Outcome(report, injector.counts(), violations, runCounts.actions(), events.aroundFirstViolation());
    }

    private Future<TrafficReport> send(TrafficProfile sent, long sentSeed) {
        return TrafficGenerator.run(fleet.vertx(), fleet::readyUrls, fleet.fileSet(), sent, sentSeed, report -> {});
    }

    /** Begins and ends each planned fault at its time. */
    private void runSchedule() throws InterruptedException {
        record FaultTransition(long millis, PlannedFault fault, boolean begins) {}
        List<FaultTransition> transitions = schedule.stream()
                .flatMap(fault -> Stream.of(
                        new FaultTransition(fault.startMillis(), fault, true),
                        new FaultTransition(fault.startMillis() + fault.durationMillis(), fault, false)))
                .sorted(Comparator.comparingLong(FaultTransition::millis))
                .toList();
        long startNanos = System.nanoTime();
        for (FaultTransition transition : transitions) {
            long dueMillis = transition.millis() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            Thread.sleep(Math.max(0, dueMillis));
            if (!transition.begins()) {
                injector.end(transition.fault());
                continue;
            }
            progress.println(transition.fault());
            injector.begin(transition.fault());
            if (transition.fault().kind() == FaultKind.BURST) {
                bursts.add(send(burst(transition.fault()), seed + bursts.size() + 1));
            }
        }
    }

    private TrafficProfile burst(PlannedFault fault) {
        ClassProfile normal =
                profile.classes().get(fault.target() % profile.classes().size());
        ClassProfile burstProfile = new ClassProfile(
                normal.requestClass(),
                normal.requestsPerSecond() * BURST_FACTOR,
                normal.keys(),
                normal.model(),
                normal.path(),
                normal.promptChars(),
                normal.maxTokens(),
                normal.keyed());
        return new TrafficProfile(fault.durationMillis(), List.of(burstProfile));
    }

    private void addViolations(String name, long found) {
        violations.merge(name, found, Long::sum);
    }

    private void checkAnswers(TrafficReport report) {
        addViolations("wrongAnswers", report.wrongAnswers());
        boolean killed = injector.counts().containsKey(FaultKind.NODE_KILLED);
        if (!killed) {
            addViolations("brokenWithoutKill", report.brokenAnswers());
        }
    }

    private void checkEveryClassIsServed() throws TimeoutException {
        TrafficProfile finalTraffic = new TrafficProfile(FINAL_TRAFFIC_MILLIS, profile.classes());
        TrafficReport report =
                send(finalTraffic, seed + FINAL_TRAFFIC_SEED_OFFSET).await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        long unserved = report.classes().values().stream()
                .filter(classReport -> classReport.requests() > 0 && classReport.answered() == 0)
                .count();
        addViolations("classesUnservedAfterCalm", unserved);
        report.classes().forEach((name, classReport) -> {
            if (unanswered(classReport) > 0) {
                progress.println("after calm: " + name + " answered " + classReport.answered() + " of "
                        + classReport.requests() + ", refused " + classReport.refusedByVerdict());
            }
        });
        addViolations(
                "unansweredAfterCalm",
                report.classes().values().stream()
                        .mapToLong(ChaosRun::unanswered)
                        .sum());
    }

    private static long unanswered(ClassReport report) {
        return report.requests() - report.answered();
    }

    private void checkGenerations() {
        long distinct = fleet.nodes().stream()
                .map(node -> node.configuration().current().map(Generation::number))
                .distinct()
                .count();
        addViolations("nodesAtDifferentGenerations", distinct - 1);
        boolean behind = fleet.nodes().stream()
                .anyMatch(node -> node.configuration()
                        .current()
                        .map(generation -> generation.number() < injector.highestAppliedGeneration())
                        .orElse(true));
        addViolations("acceptedGenerationNotInForce", behind ? 1 : 0);
    }

    private void checkInvariantMonitors() {
        List<EntryNode> all = new ArrayList<>(injector.stoppedNodes());
        all.addAll(fleet.nodes());
        for (Invariant invariant : Invariant.values()) {
            long found = all.stream()
                    .mapToLong(node -> node.invariants().violations(invariant))
                    .sum();
            addViolations(invariant.name(), found);
        }
    }
}
