package io.lagoonseam.bench.soak;

import io.lagoonseam.bench.soak.SoakLog.ConfigurationChange;
import io.lagoonseam.bench.soak.SoakLog.NodeAction;
import io.lagoonseam.bench.soak.SoakLog.NodeEvent;
import io.lagoonseam.bench.soak.SoakLog.Probe;
import io.lagoonseam.bench.soak.SoakLog.StoreOutage;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Checks that configurations come into force at each node in time, and that none reverts. */
final class ConfigurationOracle {

    /** How long an accepted configuration may take until it is in force everywhere, in milliseconds. */
    private static final long IN_FORCE_MILLIS = 4_000;

    /** The time after which a fault excuses nothing, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    /**
     * How long after a request an older configuration may still answer one that was sent meanwhile, in milliseconds.
     */
    private static final long ROLLBACK_SLACK_MILLIS = 250;

    private final Map<Integer, Long> changedMillis = new HashMap<>();
    private final List<Probe> probes;
    private final List<NodeEvent> nodeEvents;
    private final List<StoreOutage> storeOutages;
    private final List<String> violations = new ArrayList<>();

    ConfigurationOracle(SoakLog log) {
        for (ConfigurationChange change : log.configurationChanges()) {
            changedMillis.put(change.number(), change.atMillis());
        }
        this.probes = log.probes().stream()
                .sorted(Comparator.comparingLong(Probe::sentMillis))
                .toList();
        this.nodeEvents = log.nodeEvents();
        this.storeOutages = log.storeOutages();
    }

    /** Returns what was violated, one line for each node and kind at most. */
    List<String> check() {
        Map<Integer, Probe> newestFoundByNode = new HashMap<>();
        Map<String, String> firstByKind = new HashMap<>();
        for (Probe probe : probes) {
            late(probe).ifPresent(text -> firstByKind.putIfAbsent("late " + probe.node(), text));
            Probe newest = newestFoundByNode.get(probe.node());
            if (newest != null && restarted(probe.node(), newest.endedMillis(), probe.sentMillis())) {
                newestFoundByNode.remove(probe.node());
                newest = null;
            }
            boolean reverted = newest != null
                    && probe.found()
                    && probe.number() < newest.number()
                    && probe.sentMillis() > newest.endedMillis() + ROLLBACK_SLACK_MILLIS;
            if (reverted) {
                firstByKind.putIfAbsent(
                        "reverted " + probe.node(),
                        "GENERATION_NEVER_FALLS node " + probe.node() + " had the route of " + probe.number()
                                + " after that of " + newest.number());
            }
            if (probe.found() && (newest == null || probe.number() > newest.number())) {
                newestFoundByNode.put(probe.node(), probe);
            }
        }
        firstByKind.keySet().stream().sorted().map(firstByKind::get).forEach(violations::add);
        return violations;
    }

    /** Returns a violation if the node handles a request by a configuration that has been replaced for too long. */
    private Optional<String> late(Probe probe) {
        long newerMillis = changedMillis.getOrDefault(probe.number() + 1, Long.MAX_VALUE);
        long ownMillis = changedMillis.get(probe.number());
        boolean lacksRoute = !probe.found()
                && newerMillis > probe.endedMillis()
                && probe.sentMillis() > ownMillis + IN_FORCE_MILLIS
                && !excused(probe.node(), ownMillis, probe.endedMillis());
        boolean keepsRoute = probe.found()
                && newerMillis != Long.MAX_VALUE
                && probe.sentMillis() > newerMillis + IN_FORCE_MILLIS
                && !excused(probe.node(), newerMillis, probe.endedMillis());
        return lacksRoute || keepsRoute
                ? Optional.of("CONFIGURATION node " + probe.node() + (lacksRoute ? " lacks" : " still has")
                        + " the route of " + probe.number() + " after "
                        + (probe.sentMillis() - (lacksRoute ? ownMillis : newerMillis)) + " ms")
                : Optional.empty();
    }

    private boolean excused(int node, long fromMillis, long toMillis) {
        return nodeEvents.stream()
                        .anyMatch(event -> event.node() == node
                                && event.action() != NodeAction.RELOAD
                                && event.fromMillis() <= toMillis
                                && event.toMillis() + CONTACT_MILLIS >= fromMillis)
                || storeOutages.stream()
                        .anyMatch(outage ->
                                outage.fromMillis() <= toMillis && outage.toMillis() + CONTACT_MILLIS >= fromMillis);
    }

    private boolean restarted(int node, long fromMillis, long toMillis) {
        return nodeEvents.stream()
                .anyMatch(event -> event.node() == node
                        && (event.action() == NodeAction.STOP || event.action() == NodeAction.KILL)
                        && event.fromMillis() <= toMillis
                        && event.toMillis() >= fromMillis);
    }
}
