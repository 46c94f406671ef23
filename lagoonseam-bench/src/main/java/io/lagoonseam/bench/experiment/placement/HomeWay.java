package io.lagoonseam.bench.experiment.placement;

import io.lagoonseam.core.forward.OutlierDetector;
import io.lagoonseam.core.forward.WorkerLoad;
import io.lagoonseam.core.placement.ExpectedAnswer;
import io.lagoonseam.core.placement.PlacementDecision;
import io.lagoonseam.core.placement.PlacementHome;
import io.lagoonseam.core.placement.PlacementKey;
import io.lagoonseam.core.placement.PlacementRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.Supplier;

/**
 * One home places the requests of all nodes. Messages take time, and reports are gathered before they are sent. Without
 * these delays it is the bound that a home with perfect knowledge reaches.
 */
final class HomeWay implements PlacementWay {

    private static final double WAIT_SHARE = 0.35;
    private static final long DISPATCH_MILLIS = 10;
    private static final long ASSIGN_MILLIS = 250;
    private static final long NODE_TIMEOUT_MILLIS = 80;

    private final Actions actions;
    private final int slots;
    private final Supplier<PlacementHome> homeFactory;
    private final long messageMillis;
    private final long gatherMillis;
    private final EventSchedule events = new EventSchedule();
    private final Map<Long, ModelRequest> requests = new HashMap<>();
    private final Map<ModelRequest, Sent> sent = new LinkedHashMap<>();
    private PlacementHome home;
    private List<Integer> serving = List.of();
    private long homeUpAtMillis;
    private long lastNumber;
    private long messages;

    private record Sent(long number, int worker, long unreadTokens, long sentMillis) {}

    HomeWay(Supplier<PlacementHome> homeFactory, int slots, Actions actions, long messageMillis, long gatherMillis) {
        this.homeFactory = homeFactory;
        this.home = homeFactory.get();
        this.slots = slots;
        this.actions = actions;
        this.messageMillis = messageMillis;
        this.gatherMillis = gatherMillis;
    }

    private PlacementKey key(long number, ModelRequest request) {
        return new PlacementKey("n" + request.node, number);
    }

    @Override
    public void submit(ModelRequest request, long nowMillis) {
        messages += 2;
        events.at(Math.max(nowMillis + messageMillis, homeUpAtMillis), () -> ask(request, nowMillis));
    }

    private void ask(ModelRequest request, long submittedMillis) {
        long nowMillis = Math.max(submittedMillis + messageMillis, homeUpAtMillis);
        if (request.ended) {
            return;
        }
        lastNumber++;
        long number = lastNumber;
        requests.put(number, request);
        if (home.dispatchDue()) {
            dispatch(nowMillis);
        }
        long waitMillis = Math.round(WAIT_SHARE * request.kind.objectiveMillis());
        decided(
                number,
                home.submit(
                        new PlacementRequest(
                                key(number, request),
                                request.kind.priority(),
                                request.demand(request.kind.homeLane(), OptionalInt.of(request.kind.priority())),
                                submittedMillis + waitMillis,
                                new ExpectedAnswer(
                                        request.generatedTokens, request.firstMillis + request.kind.deadlineMillis())),
                        nowMillis),
                nowMillis);
    }

    private void decided(long number, PlacementDecision decision, long nowMillis) {
        ModelRequest request = requests.get(number);
        if (decision instanceof PlacementDecision.Granted granted) {
            int worker = ModelWorkers.index(granted.workerId());
            long sentMillis = nowMillis + messageMillis;
            if (request.ended) {
                home.release(key(number, request));
                return;
            }
            sent.put(request, new Sent(number, worker, granted.unreadTokens(), sentMillis));
            int copyFrom = granted.copyFromId().isEmpty() ? -1 : ModelWorkers.index(granted.copyFromId());
            actions.send(request, worker, copyFrom, sentMillis + 1);
        } else if (decision instanceof PlacementDecision.Refused refused) {
            actions.refuse(request, refused.backlogMillis());
        }
    }

    private void dispatch(long nowMillis) {
        for (PlacementHome.LateDecision late : home.dispatch(nowMillis)) {
            messages += 2;
            decided(late.key().number(), late.decision(), nowMillis);
        }
    }

    @Override
    public void tick(long nowMillis) {
        events.run(nowMillis);
        if (nowMillis % ASSIGN_MILLIS == 0) {
            home.assignLanes();
        }
        if (nowMillis % DISPATCH_MILLIS == 0 && nowMillis >= homeUpAtMillis && home.queuedRequests() > 0) {
            dispatch(nowMillis);
        }
    }

    private void report(long nowMillis, Runnable action) {
        messages += 2;
        long atMillis = nowMillis + gatherMillis + messageMillis;
        if (atMillis >= homeUpAtMillis) {
            events.at(atMillis, action);
        }
    }

    @Override
    public void onFirstEvent(ModelRequest request, int worker, int running, int waiting, long nowMillis) {
        Sent entry = sent.get(request);
        if (entry == null) {
            return;
        }
        sent.put(request, new Sent(entry.number, worker, 0, entry.sentMillis));
        long afterMillis = nowMillis - entry.sentMillis;
        report(nowMillis, () -> {
            home.recordLoad(ModelWorkers.id(worker), new WorkerLoad(running, waiting), nowMillis);
            home.recordFirstEvent(key(entry.number, request), afterMillis, nowMillis);
        });
    }

    @Override
    public void onEnd(ModelRequest request, int worker, boolean failed, long nowMillis) {
        Sent entry = sent.remove(request);
        if (entry != null) {
            requests.remove(entry.number);
            report(nowMillis, () -> {
                if (failed) {
                    home.recordOutcome(
                            ModelWorkers.id(worker), "n" + request.node, OutlierDetector.Outcome.SILENT, nowMillis);
                }
                home.recordEnd(key(entry.number, request), nowMillis);
            });
        }
    }

    @Override
    public void workers(List<Integer> nowServing, long nowMillis) {
        serving = List.copyOf(nowServing);
        ModelWorkers.update(home.workers(), serving, slots);
        home.workersChanged();
    }

    /** The nodes notice after their time-out, and tell the next home what they have in flight. */
    @Override
    public void killHome(long nowMillis) {
        homeUpAtMillis = nowMillis + NODE_TIMEOUT_MILLIS;
        home = homeFactory.get();
        ModelWorkers.update(home.workers(), serving, slots);
        List<ModelRequest> inFlight = new ArrayList<>(sent.keySet());
        List<ModelRequest> waiting = requests.values().stream()
                .filter(request -> !sent.containsKey(request) && !request.ended)
                .toList();
        requests.clear();
        events.at(homeUpAtMillis, () -> {
            for (ModelRequest request : inFlight) {
                Sent entry = sent.get(request);
                if (entry != null) {
                    requests.put(entry.number, request);
                    home.recordPlaced(
                            key(entry.number, request),
                            ModelWorkers.id(entry.worker),
                            request.prompt.prefixHash(),
                            request.prompt.tokens(),
                            entry.unreadTokens,
                            homeUpAtMillis);
                }
            }
        });
        waiting.forEach(request -> submit(request, nowMillis));
    }

    @Override
    public long messages() {
        return messages;
    }
}
