package io.lagoonseam.bench.soak;

import io.lagoonseam.bench.soak.SoakCrashCaller.CrashKind;
import io.lagoonseam.bench.soak.SoakLog.CrashTry;
import io.lagoonseam.bench.soak.SoakLog.NodeEvent;
import io.lagoonseam.standin.worker.WorkerStandIn;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Checks that requests under which engines have crashed are sent to hardly any more. */
final class CrashOracle {

    private static final long CONTACT_MILLIS = 3_000;

    /** The number of requests that may still be sent when all nodes have to know. */
    private static final int ALLOWED = 3;

    private final List<CrashTry> tries;
    private final List<NodeEvent> nodeEvents;
    private final Set<String> arrived;
    private final List<WorkerStandIn.Arrival> crashes;

    /**
     * Creates an oracle.
     *
     * @param log what happened
     * @param arrivals the requests that each worker received
     * @param crashes the requests that crashed engines, and when
     */
    CrashOracle(SoakLog log, Map<String, List<WorkerStandIn.Arrival>> arrivals, List<WorkerStandIn.Arrival> crashes) {
        this.tries = log.crashTries();
        this.nodeEvents = log.nodeEvents();
        this.arrived = arrivals.values().stream()
                .flatMap(List::stream)
                .map(WorkerStandIn.Arrival::requestId)
                .collect(Collectors.toSet());
        this.crashes = List.copyOf(crashes);
    }

    /** Returns what was violated, one line for each kind of requests. */
    List<String> check() {
        List<String> violations = new ArrayList<>();
        for (CrashKind kind : CrashKind.values()) {
            List<Long> atMillis = crashes.stream()
                    .filter(crash -> crash.requestId().startsWith(kind.idPrefix()))
                    .map(WorkerStandIn.Arrival::atMillis)
                    .sorted()
                    .toList();
            if (atMillis.size() < kind.crashesToTell()) {
                continue;
            }
            long knownMillis = atMillis.get(kind.crashesToTell() - 1) + CONTACT_MILLIS;
            List<String> late = tries.stream()
                    .filter(attempt -> attempt.kind() == kind && attempt.sentMillis() > knownMillis)
                    .filter(attempt -> arrived.contains(attempt.id()) && inTouch(attempt))
                    .map(CrashTry::id)
                    .toList();
            if (late.size() > ALLOWED) {
                violations.add("BUDGET " + late.size() + " requests reached engines after " + kind.crashesToTell()
                        + " crashes, " + atMillis.size() + " crashed in all: " + late);
            }
        }
        return violations;
    }

    private boolean inTouch(CrashTry attempt) {
        return nodeEvents.stream()
                .noneMatch(event -> event.node() == attempt.node()
                        && event.fromMillis() <= attempt.sentMillis() + CONTACT_MILLIS
                        && event.toMillis() + CONTACT_MILLIS >= attempt.sentMillis());
    }
}
