package io.lagoonseam.bench.chaos;

import io.lagoonseam.bench.fleet.LocalFleet;
import io.lagoonseam.bench.fleet.StandInClient;
import io.lagoonseam.entry.EntryNode;
import io.lagoonseam.entry.configuration.ApplyResult;
import io.lagoonseam.entry.configuration.ConfigurationStore;
import io.lagoonseam.entry.configuration.SourceFile;
import io.lagoonseam.entry.platform.PlatformClient;
import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Begins and ends planned faults on a fleet.
 *
 * <p>The settings for lasting faults of stand-ins and platform links are derived from all faults that are active at the
 * moment, so that overlapping faults of the same kind do not end each other early.
 */
final class FaultInjector {

    private static final double SLOW_FACTOR = 5;
    private static final long FAULT_REPORT_LAG_MILLIS = 2_000;
    private static final long NORMAL_REPORT_LAG_MILLIS = 200;
    private static final long SLOW_PLATFORM_DELAY_MILLIS = 400;
    private static final double LOST_ANSWER_SHARE = 0.3;
    private static final double UNRESPONSIVE_STREAM_SHARE = 0.34;

    private final LocalFleet fleet;
    private final StandInClient standIns;
    private final List<String> engineNames;
    private final List<PlannedFault> active = new ArrayList<>();
    private final List<EntryNode> stopped = new ArrayList<>();
    private final Map<FaultKind, Integer> counts = new EnumMap<>(FaultKind.class);
    private final List<SourceFile> files;
    private long applyCount;
    private long highestAppliedGeneration;

    FaultInjector(LocalFleet fleet) {
        this.fleet = fleet;
        this.standIns = new StandInClient(fleet.vertx());
        this.engineNames = List.copyOf(new TreeSet<>(fleet.engines().keySet()));
        this.files = fleet.appliedFiles();
    }

    void begin(PlannedFault fault) {
        counts.merge(fault.kind(), 1, Integer::sum);
        active.add(fault);
        switch (fault.kind()) {
            case SILENT_CONNECTIONS ->
                post(engineUrl(fault), new JsonObject().put("silenceShare", UNRESPONSIVE_STREAM_SHARE));
            case NODE_KILLED -> {
                EntryNode node = node(fault);
                stopped.add(node);
                fleet.haltNode(node);
                fleet.addNodeWithoutWaiting();
            }
            case NODE_REPLACED -> {
                EntryNode node = node(fault);
                stopped.add(node);
                fleet.addNodeWithoutWaiting();
                stopWithoutWaiting(node);
            }
            case UPSTREAM_REPLACED -> fleet.setVmState(engineName(fault), "leaving");
            case CONFLICTING_APPLIES -> applyConflictingFileSets();
            default -> applyActiveFaults();
        }
    }

    void end(PlannedFault fault) {
        active.remove(fault);
        if (fault.kind() == FaultKind.UPSTREAM_REPLACED) {
            fleet.replaceUpstream(engineName(fault));
            fleet.setVmState(engineName(fault), "live");
        }
        applyActiveFaults();
    }

    /**
     * Stops a node on a separate thread, since a stop may last as long as the requests in flight and must not delay the
     * schedule.
     */
    private void stopWithoutWaiting(EntryNode node) {
        Thread stopper =
                new Thread(() -> fleet.stopNode(node), "stop-" + node.settings().nodeId());
        stopper.setDaemon(true);
        stopper.start();
    }

    private EntryNode node(PlannedFault fault) {
        return fleet.nodes().get(fault.target() % fleet.nodes().size());
    }

    private String engineName(PlannedFault fault) {
        return engineNames.get(fault.target() % engineNames.size());
    }

    private String engineUrl(PlannedFault fault) {
        return fleet.engines().get(engineName(fault)).url();
    }

    private boolean isActive(FaultKind kind) {
        return active.stream().anyMatch(fault -> fault.kind() == kind);
    }

    private boolean isActive(FaultKind kind, String engine) {
        return active.stream()
                .anyMatch(fault -> fault.kind() == kind && engineName(fault).equals(engine));
    }

    private void applyActiveFaults() {
        post(
                fleet.platform().url(),
                new JsonObject()
                        .put("outage", isActive(FaultKind.PLATFORM_DOWN))
                        .put("slowMillis", isActive(FaultKind.PLATFORM_SLOW) ? SLOW_PLATFORM_DELAY_MILLIS : 0)
                        .put("loseAnswersShare", isActive(FaultKind.PLATFORM_LOSES_ANSWERS) ? LOST_ANSWER_SHARE : 0.0));
        for (String engine : engineNames) {
            post(fleet.engines().get(engine).url(), engineFaults(engine));
        }
        List<String> dataCentres = fleet.dataCentres();
        for (int index = 0; index < dataCentres.size(); index++) {
            int dataCentreIndex = index;
            boolean isCutOff = active.stream()
                    .anyMatch(fault -> fault.kind() == FaultKind.DATA_CENTRE_CUT_OFF
                            && fault.target() % dataCentres.size() == dataCentreIndex);
            fleet.link(dataCentres.get(index)).setPartitioned(isCutOff);
        }
    }

    private JsonObject engineFaults(String engine) {
        boolean reportsLag = isActive(FaultKind.LATE_REPORTS) || isActive(FaultKind.STRAGGLER, engine);
        return new JsonObject()
                .put("slowFactor", isActive(FaultKind.STRAGGLER, engine) ? SLOW_FACTOR : 1.0)
                .put("reportLagMillis", reportsLag ? FAULT_REPORT_LAG_MILLIS : NORMAL_REPORT_LAG_MILLIS)
                .put("crossed", isActive(FaultKind.CROSSED_ANSWERS, engine))
                .put("crashed", isActive(FaultKind.ENGINE_CRASH, engine));
    }

    private void post(String url, JsonObject faults) {
        standIns.post(url + "/faults", faults);
    }

    /** Applies two different file sets at the same time; at most one apply may succeed for each generation. */
    private void applyConflictingFileSets() {
        ConfigurationStore store = new ConfigurationStore(
                new PlatformClient(fleet.vertx(), fleet.platform().url()));
        List<Future<ApplyResult>> results = new ArrayList<>();
        for (String author : List.of("ann", "bea")) {
            applyCount++;
            results.add(Future.fromCompletionStage(
                    store.apply(withUniqueLimit(author), author, "run " + applyCount, System.currentTimeMillis())));
        }
        Future.join(results).onComplete(done -> results.forEach(this::recordApplyResult));
    }

    private synchronized void recordApplyResult(Future<ApplyResult> result) {
        if (result.succeeded() && result.result() instanceof ApplyResult.Applied applied) {
            highestAppliedGeneration = Math.max(highestAppliedGeneration, applied.generation());
        }
    }

    /** Returns the file set with an additional limit, whose name is unique to this apply. */
    private List<SourceFile> withUniqueLimit(String author) {
        List<SourceFile> extendedFiles = new ArrayList<>(files);
        extendedFiles.add(new SourceFile(
                "90-mark.yaml",
                "kind: Limits\nname: mark-" + author + "-" + applyCount
                        + "\nrequestsPerSecond: 1\ntokensPerSecond: 1\nconcurrency: 1\n"));
        return extendedFiles;
    }

    /** Returns the highest generation whose apply was accepted, or 0. */
    synchronized long highestAppliedGeneration() {
        return highestAppliedGeneration;
    }

    /** Returns the nodes that were killed or gracefully stopped. */
    List<EntryNode> stoppedNodes() {
        return List.copyOf(stopped);
    }

    Map<FaultKind, Integer> counts() {
        return new EnumMap<>(counts);
    }
}
