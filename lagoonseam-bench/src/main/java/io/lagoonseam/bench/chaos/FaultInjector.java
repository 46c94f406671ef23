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

/** Begins and ends the faults of a schedule on a fleet. Lasting faults are derived from those that are active now. */
final class FaultInjector {

    private static final double SLOW_FACTOR = 5;
    private static final long LATE_REPORT_MILLIS = 2_000;
    private static final long USUAL_REPORT_MILLIS = 200;
    private static final long PLATFORM_SLOW_MILLIS = 400;
    private static final double LOST_SHARE = 0.3;
    private static final double SILENT_SHARE = 0.34;

    private final LocalFleet fleet;
    private final StandInClient standIns;
    private final List<String> engineNames;
    private final List<PlannedFault> active = new ArrayList<>();
    private final List<EntryNode> ended = new ArrayList<>();
    private final Map<FaultKind, Integer> counts = new EnumMap<>(FaultKind.class);
    private final List<SourceFile> files;
    private long applies;
    private long highestApplied;

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
            case SILENT_CONNECTIONS -> post(engineUrl(fault), new JsonObject().put("silenceShare", SILENT_SHARE));
            case NODE_KILLED -> {
                EntryNode node = node(fault);
                ended.add(node);
                fleet.haltNode(node);
                fleet.launchNode();
            }
            case NODE_REPLACED -> {
                EntryNode node = node(fault);
                ended.add(node);
                fleet.launchNode();
                stopWithoutWaiting(node);
            }
            case UPSTREAM_REPLACED -> fleet.setVm(engineName(fault), "leaving");
            case CONFLICTING_APPLIES -> applyTwice();
            default -> refresh();
        }
    }

    void end(PlannedFault fault) {
        active.remove(fault);
        if (fault.kind() == FaultKind.UPSTREAM_REPLACED) {
            fleet.replaceUpstream(engineName(fault));
            fleet.setVm(engineName(fault), "live");
        }
        refresh();
    }

    /** A stop may last as long as the requests in flight; the schedule goes on meanwhile. */
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

    private void refresh() {
        post(
                fleet.platform().url(),
                new JsonObject()
                        .put("outage", isActive(FaultKind.PLATFORM_DOWN))
                        .put("slowMillis", isActive(FaultKind.PLATFORM_SLOW) ? PLATFORM_SLOW_MILLIS : 0)
                        .put("loseAnswersShare", isActive(FaultKind.PLATFORM_LOSES_ANSWERS) ? LOST_SHARE : 0.0));
        for (String engine : engineNames) {
            post(fleet.engines().get(engine).url(), engineFaults(engine));
        }
        List<String> dataCentres = fleet.dataCentres();
        for (int index = 0; index < dataCentres.size(); index++) {
            int place = index;
            boolean cut = active.stream()
                    .anyMatch(fault -> fault.kind() == FaultKind.DATA_CENTRE_CUT_OFF
                            && fault.target() % dataCentres.size() == place);
            fleet.link(dataCentres.get(index)).cut(cut);
        }
    }

    private JsonObject engineFaults(String engine) {
        boolean late = isActive(FaultKind.LATE_REPORTS) || isActive(FaultKind.STRAGGLER, engine);
        return new JsonObject()
                .put("slowFactor", isActive(FaultKind.STRAGGLER, engine) ? SLOW_FACTOR : 1.0)
                .put("reportLagMillis", late ? LATE_REPORT_MILLIS : USUAL_REPORT_MILLIS)
                .put("crossed", isActive(FaultKind.CROSSED_ANSWERS, engine))
                .put("crashed", isActive(FaultKind.ENGINE_CRASH, engine));
    }

    private void post(String url, JsonObject faults) {
        standIns.post(url + "/faults", faults);
    }

    /** Two operators apply at once; at most one of them may win each generation. */
    private void applyTwice() {
        ConfigurationStore store = new ConfigurationStore(
                new PlatformClient(fleet.vertx(), fleet.platform().url()));
        List<Future<ApplyResult>> results = new ArrayList<>();
        for (String author : List.of("ann", "bea")) {
            applies++;
            results.add(Future.fromCompletionStage(
                    store.apply(withMark(author), author, "run " + applies, System.currentTimeMillis())));
        }
        Future.join(results).onComplete(done -> results.forEach(this::noteApply));
    }

    private synchronized void noteApply(Future<ApplyResult> result) {
        if (result.succeeded() && result.result() instanceof ApplyResult.Applied applied) {
            highestApplied = Math.max(highestApplied, applied.generation());
        }
    }

    /** A file set that differs from every other one in the name of one limit. */
    private List<SourceFile> withMark(String author) {
        List<SourceFile> marked = new ArrayList<>(files);
        marked.add(new SourceFile(
                "90-mark.yaml",
                "kind: Limits\nname: mark-" + author + "-" + applies
                        + "\nrequestsPerSecond: 1\ntokensPerSecond: 1\nconcurrency: 1\n"));
        return marked;
    }

    synchronized long highestApplied() {
        return highestApplied;
    }

    /** Returns the nodes that were killed or stopped. */
    List<EntryNode> endedNodes() {
        return List.copyOf(ended);
    }

    Map<FaultKind, Integer> counts() {
        return new EnumMap<>(counts);
    }
}
