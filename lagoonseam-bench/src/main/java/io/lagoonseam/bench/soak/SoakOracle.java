package io.lagoonseam.bench.soak;

import io.lagoonseam.bench.soak.SoakLog.Call;
import io.lagoonseam.bench.soak.SoakLog.LimitChange;
import io.lagoonseam.bench.soak.SoakLog.NodeEvent;
import io.lagoonseam.bench.soak.SoakLog.Outcome;
import io.lagoonseam.standin.worker.WorkerStandIn;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Checks what was promised to callers and workers against what they saw. */
final class SoakOracle {

    private static final long WINDOW_MILLIS = 4_000;
    private static final double TOLERATED_FACTOR = 1.5;
    private static final int TOLERATED_MORE = 5;

    /** How long a node has to know a limit before its requests count, in milliseconds. */
    private static final long TOLD_MILLIS = 500;

    /** The time from the first answer with a limit until it binds, and after which a fault excuses nothing. */
    private static final long CONTACT_MILLIS = 3_000;

    /** How long a limit that was raised or ended before still counts, in milliseconds. */
    private static final long CHANGE_MILLIS = 1_500;

    /**
     * The time within which a caller notices that the worker of its request has crashed, in milliseconds: a stream
     * waits a second for another worker.
     */
    private static final long CRASH_NOTICED_MILLIS = 1_500;

    /** The time that a worker takes to close its connections when it crashes, in milliseconds. */
    private static final long CRASH_LASTS_MILLIS = 200;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final Pattern TOKEN = Pattern.compile("data: token (\\d+) of (\\S+)\n");

    private final SoakLog log;
    private final Map<String, List<WorkerStandIn.Arrival>> arrivalsByWorker;
    private final Map<String, List<WorkerStandIn.Arrival>> crashesByWorker;
    private final Map<String, Integer> runsById;
    private final Map<String, Call> callById = new HashMap<>();
    private final List<Call> limitedCalls = new ArrayList<>();
    private final List<NodeEvent> nodeEvents;
    private final List<String> violations = new ArrayList<>();

    SoakOracle(
            SoakLog log,
            Map<String, List<WorkerStandIn.Arrival>> arrivalsByWorker,
            Map<String, List<WorkerStandIn.Arrival>> crashesByWorker,
            Map<String, Integer> runsById) {
        this.log = log;
        this.crashesByWorker = crashesByWorker;
        this.arrivalsByWorker = arrivalsByWorker;
        this.runsById = runsById;
        this.nodeEvents = log.nodeEvents();
        for (Call call : log.calls()) {
            callById.put(call.id(), call);
            if (!call.limitedBy().isEmpty()) {
                limitedCalls.add(call);
            }
        }
    }

    /** Returns what was violated, one line for each case. */
    List<String> check() {
        log.calls().forEach(this::checkCall);
        arrivalsByWorker.forEach(this::checkLimit);
        return violations;
    }

    /** Returns whether a worker crashed that had the request, just before its connection ended. */
    private boolean lostInCrash(Call call) {
        return crashesByWorker.entrySet().stream()
                .anyMatch(crashes -> crashes.getValue().stream()
                                .anyMatch(crash -> crash.atMillis() >= call.sentMillis() - CRASH_LASTS_MILLIS
                                        && crash.atMillis() <= call.endedMillis()
                                        && crash.atMillis() > call.endedMillis() - CRASH_NOTICED_MILLIS)
                        && arrivalsByWorker.get(crashes.getKey()).stream()
                                .anyMatch(arrival -> arrival.requestId().equals(call.id())));
    }

    private void checkCall(Call call) {
        int runs = runsById.getOrDefault(call.id(), 0);
        if ("pay".equals(call.kind()) && runs > 1) {
            violations.add("AT_MOST_ONCE " + call.id() + " ran " + runs + " times");
        }
        if ((call.status() == 503 || call.status() == 429) && runs > 0) {
            violations.add("NOT_RUN_IS_TRUE " + call.id() + " was refused and ran");
        }
        if (call.status() == 200 && !isOwnWholeAnswer(call)) {
            violations.add("OWN_ANSWER_WHOLE " + call.id() + " got " + call.body());
        }
        boolean cut = call.outcome() == Outcome.CUT || call.outcome() == Outcome.CUT_FRESH && runs > 0;
        if (cut && !excused(call.node(), call.sentMillis(), call.endedMillis()) && !lostInCrash(call)) {
            violations.add("STOP_CUTS_NOTHING " + call.id() + " of node " + call.node() + " was cut off after "
                    + (call.endedMillis() - call.sentMillis()) + " ms, " + runs + " runs");
        }
    }

    private static boolean isOwnWholeAnswer(Call call) {
        if (!"talk".equals(call.kind())) {
            return call.body().endsWith(" ran " + call.id());
        }
        Matcher matcher = TOKEN.matcher(call.body());
        int next = 1;
        while (matcher.find()) {
            if (Integer.parseInt(matcher.group(1)) != next || !matcher.group(2).equals(call.id())) {
                return false;
            }
            next++;
        }
        return next == SoakCaller.EVENTS + 1;
    }

    /** Returns whether an unplanned fault of the node excuses what happened there in a time. */
    private boolean excused(int node, long fromMillis, long toMillis) {
        return nodeEvents.stream()
                .anyMatch(event -> event.node() == node
                        && !event.action().planned()
                        && event.fromMillis() <= toMillis
                        && event.toMillis() + CONTACT_MILLIS >= fromMillis);
    }

    private boolean restarted(int node, long fromMillis, long toMillis) {
        return nodeEvents.stream()
                .anyMatch(event -> event.node() == node
                        && event.action() != SoakLog.NodeAction.RELOAD
                        && event.fromMillis() <= toMillis
                        && event.toMillis() + CONTACT_MILLIS >= fromMillis);
    }

    private void checkLimit(String worker, List<WorkerStandIn.Arrival> arrivals) {
        List<LimitChange> changes = log.limitChanges().stream()
                .filter(change -> change.worker().equals(worker))
                .sorted(Comparator.comparingLong(LimitChange::atMillis))
                .toList();
        List<Long> counted = new ArrayList<>();
        for (WorkerStandIn.Arrival arrival : arrivals) {
            Call call = callById.get(arrival.requestId());
            if (call != null && told(worker, call.node(), arrival.atMillis())) {
                counted.add(arrival.atMillis());
            }
        }
        for (int first = 0; first < counted.size(); first++) {
            long beginMillis = counted.get(first);
            long endMillis = beginMillis + WINDOW_MILLIS;
            long received = counted.stream()
                    .filter(at -> at >= beginMillis && at < endMillis)
                    .count();
            double allowed = TOLERATED_MORE + TOLERATED_FACTOR * allowedRequests(changes, beginMillis, endMillis);
            if (received > allowed) {
                violations.add("LIMIT " + worker + " got " + received + " requests in 4 s from nodes that it had told,"
                        + " allowed " + (long) allowed);
                return;
            }
        }
    }

    /**
     * Returns whether a node has passed on an answer with the limit long enough before, and has not restarted since.
     */
    private boolean told(String worker, int node, long atMillis) {
        return !restarted(node, atMillis, atMillis)
                && limitedCalls.stream()
                        .anyMatch(call -> call.node() == node
                                && call.limitedBy().equals(worker)
                                && call.endedMillis() <= atMillis - TOLD_MILLIS
                                && !restarted(node, call.endedMillis(), atMillis));
    }

    /** Returns how many requests the limits of a window allow; infinite if a limit does not bind throughout. */
    private static double allowedRequests(List<LimitChange> changes, long beginMillis, long endMillis) {
        double allowed = 0;
        long stepMillis = 50;
        for (long at = beginMillis; at < endMillis; at += stepMillis) {
            double highest = 0;
            double current = Double.POSITIVE_INFINITY;
            for (LimitChange change : changes) {
                if (change.atMillis() > at) {
                    break;
                }
                current = change.perSecond();
                highest = change.atMillis() > at - CHANGE_MILLIS ? Math.max(highest, current) : current;
            }
            double before = limitAt(changes, at - CHANGE_MILLIS);
            boolean binding = Double.isFinite(limitAt(changes, at - CONTACT_MILLIS));
            allowed += binding ? Math.max(highest, before) * stepMillis / MILLIS_PER_SECOND : Double.POSITIVE_INFINITY;
        }
        return allowed;
    }

    private static double limitAt(List<LimitChange> changes, long atMillis) {
        double limit = Double.POSITIVE_INFINITY;
        for (LimitChange change : changes) {
            if (change.atMillis() <= atMillis) {
                limit = change.perSecond();
            }
        }
        return limit;
    }
}
