package io.lagoonseam.bench.soak;

import io.lagoonseam.bench.soak.SoakLog.Call;
import io.lagoonseam.bench.soak.SoakLog.Drain;
import io.lagoonseam.bench.soak.SoakLog.NodeEvent;
import io.lagoonseam.bench.soak.SoakLog.StoreOutage;
import io.lagoonseam.standin.worker.WorkerStandIn;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks that workers that are leaving get no new requests. */
final class DrainOracle {

    /** How long a worker may get new requests after the store has accepted that it is leaving, in milliseconds. */
    private static final long DRAIN_MILLIS = 2_000;

    /** The time after which a fault excuses nothing, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    private final Map<String, List<WorkerStandIn.Arrival>> arrivalsByWorker;
    private final Map<String, Integer> nodeByRequest = new HashMap<>();
    private final List<Drain> drains;
    private final List<NodeEvent> nodeEvents;
    private final List<StoreOutage> storeOutages;

    DrainOracle(SoakLog log, Map<String, List<WorkerStandIn.Arrival>> arrivalsByWorker) {
        this.arrivalsByWorker = Map.copyOf(arrivalsByWorker);
        this.drains = log.drains();
        this.nodeEvents = log.nodeEvents();
        this.storeOutages = log.storeOutages();
        for (Call call : log.calls()) {
            nodeByRequest.put(call.id(), call.node());
        }
    }

    /** Returns what was violated, one line for each worker that left. */
    List<String> check() {
        List<String> violations = new ArrayList<>();
        for (Drain drain : drains) {
            arrivalsByWorker.getOrDefault(drain.worker(), List.of()).stream()
                    .filter(arrival -> late(drain, arrival))
                    .findFirst()
                    .ifPresent(arrival -> violations.add("LEAVING_GETS_NO_WORK " + drain.worker() + " got "
                            + arrival.requestId() + " " + (arrival.atMillis() - drain.fromMillis())
                            + " ms after it was leaving"));
        }
        return violations;
    }

    private boolean late(Drain drain, WorkerStandIn.Arrival arrival) {
        Integer node = nodeByRequest.get(arrival.requestId());
        return node != null
                && arrival.atMillis() > drain.fromMillis() + DRAIN_MILLIS
                && arrival.atMillis() < drain.toMillis()
                && nodeEvents.stream()
                        .noneMatch(event ->
                                event.node() == node && overlaps(drain, arrival, event.fromMillis(), event.toMillis()))
                && storeOutages.stream()
                        .noneMatch(outage -> overlaps(drain, arrival, outage.fromMillis(), outage.toMillis()));
    }

    private static boolean overlaps(Drain drain, WorkerStandIn.Arrival arrival, long fromMillis, long toMillis) {
        return fromMillis <= arrival.atMillis() && toMillis + CONTACT_MILLIS >= drain.fromMillis();
    }
}
