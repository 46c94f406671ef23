package io.lagoonseam.bench.chaos;

import io.lagoonseam.bench.fleet.ActionLedger;
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

/** One run: traffic, faults by the schedule, then calm, and the checks of what must have held. */
final class ChaosRun {

    private static final double BURST_FACTOR = 5;
    private static final long CALM_MILLIS = 4_000;
    private static final long CLOSING_MILLIS = 1_500;
    private static final long TIMEOUT_SECONDS = 120;
    private static final int CLOSING_SEED_OFFSET = 1_000_003;

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

    /** What a run brought. */
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
        play();
        TrafficReport report = traffic.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        List<TrafficReport> reports = new ArrayList<>(List.of(report));
        for (Future<TrafficReport> burst : bursts) {
            reports.add(burst.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
        Thread.sleep(CALM_MILLIS);
        checkEveryClassIsServed();
        checkGenerations();
        ActionLedger ledger = new ActionLedger(fleet);
        reports.forEach(this::checkAnswers);
        count("actionsRunTwice", ledger.runTwice());
        for (TrafficReport each : reports) {
            count("falseNotRun", ledger.ranAmong(each.keysNotRun()));
        }
        checkMonitors();
        return new Outcome(report, injector.counts(), violations, ledger.actions(), events.aroundFirstViolation());
    }

    private Future<TrafficReport> send(TrafficProfile sent, long sentSeed) {
        return TrafficGenerator.run(fleet.vertx(), fleet::readyUrls, fleet.fileSet(), sent, sentSeed, report -> {});
    }

    /** Begins and ends the faults at their times. */
    private void play() throws InterruptedException {
        record Moment(long millis, PlannedFault fault, boolean begins) {}
        List<Moment> moments = schedule.stream()
                .flatMap(fault -> Stream.of(
                        new Moment(fault.startMillis(), fault, true),
                        new Moment(fault.startMillis() + fault.durationMillis(), fault, false)))
                .sorted(Comparator.comparingLong(Moment::millis))
                .toList();
        long startNanos = System.nanoTime();
        for (Moment moment : moments) {
            long dueMillis = moment.millis() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            Thread.sleep(Math.max(0, dueMillis));
            if (!moment.begins()) {
                injector.end(moment.fault());
                continue;
            }
            progress.println(moment.fault());
            injector.begin(moment.fault());
            if (moment.fault().kind() == FaultKind.BURST) {
                bursts.add(send(burst(moment.fault()), seed + bursts.size() + 1));
            }
        }
    }

    private TrafficProfile burst(PlannedFault fault) {
        ClassProfile usual =
                profile.classes().get(fault.target() % profile.classes().size());
        ClassProfile raised = new ClassProfile(
                usual.requestClass(),
                usual.requestsPerSecond() * BURST_FACTOR,
                usual.keys(),
                usual.model(),
                usual.path(),
                usual.promptChars(),
                usual.maxTokens(),
                usual.keyed());
        return new TrafficProfile(fault.durationMillis(), List.of(raised));
    }

    private void count(String name, long found) {
        violations.merge(name, found, Long::sum);
    }

    private void checkAnswers(TrafficReport report) {
        count("wrongAnswers", report.wrongAnswers());
        boolean killed = injector.counts().containsKey(FaultKind.NODE_KILLED);
        if (!killed) {
            count("brokenWithoutKill", report.brokenAnswers());
        }
    }

    private void checkEveryClassIsServed() throws TimeoutException {
        TrafficProfile closing = new TrafficProfile(CLOSING_MILLIS, profile.classes());
        TrafficReport report = send(closing, seed + CLOSING_SEED_OFFSET).await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        long unserved = report.classes().values().stream()
                .filter(classReport -> classReport.requests() > 0 && classReport.answered() == 0)
                .count();
        count("classesUnservedAfterCalm", unserved);
        report.classes().forEach((name, classReport) -> {
            if (unanswered(classReport) > 0) {
                progress.println("after calm: " + name + " answered " + classReport.answered() + " of "
                        + classReport.requests() + ", refused " + classReport.refusedByVerdict());
            }
        });
        count(
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
        count("nodesAtDifferentGenerations", distinct - 1);
        boolean behind = fleet.nodes().stream()
                .anyMatch(node -> node.configuration()
                        .current()
                        .map(generation -> generation.number() < injector.highestApplied())
                        .orElse(true));
        count("acceptedGenerationNotInForce", behind ? 1 : 0);
    }

    private void checkMonitors() {
        List<EntryNode> all = new ArrayList<>(injector.endedNodes());
        all.addAll(fleet.nodes());
        for (Invariant invariant : Invariant.values()) {
            long found = all.stream()
                    .mapToLong(node -> node.invariants().violations(invariant))
                    .sum();
            count(invariant.name(), found);
        }
    }
}
