package io.lagoonseam.entry.placement;

import io.lagoonseam.core.forward.OutlierDetector;
import io.lagoonseam.core.forward.PromptShape;
import io.lagoonseam.core.forward.WorkerDemand;
import io.lagoonseam.core.forward.WorkerLoad;
import io.lagoonseam.core.placement.PlacementDecision;
import io.lagoonseam.core.placement.PlacementHome;
import io.lagoonseam.core.ratelimit.LimitReport;
import io.lagoonseam.core.time.TimeReading;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.wire.PlacementMessages.Ask;
import io.lagoonseam.wire.PlacementMessages.Batch;
import io.lagoonseam.wire.PlacementMessages.Decided;
import io.lagoonseam.wire.PlacementMessages.Decisions;
import io.lagoonseam.wire.PlacementMessages.FirstEvent;
import io.lagoonseam.wire.PlacementMessages.Load;
import io.lagoonseam.wire.PlacementMessages.Outcome;
import io.lagoonseam.wire.PlacementMessages.Placed;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What this node has in common with the home of one service: the requests that wait for its decision, those in flight,
 * and the reports that are still to be sent. If the home changes, loses its state or misses a report, the next batch
 * lists all requests in flight.
 */
final class HomeLink {

    /** How long reports are gathered before they are sent, in milliseconds. */
    private static final long GATHER_MILLIS = 20;

    /**
     * How long a home may take to answer, in ticks of 10 ms: about a third of the shortest latency objectives, so that
     * this node can still decide by itself in time. Ticks do not count time in which this node itself did not run, when
     * answers wait to be received.
     */
    private static final long REPLY_TIMEOUT_TICKS = 8;

    /** The interval at which a home is asked for a sign of life while requests wait there, in milliseconds. */
    private static final long WAITING_KEEPALIVE_MILLIS = 60;

    /** The interval at which a home hears of this node while requests are in flight, in milliseconds. */
    private static final long IN_FLIGHT_KEEPALIVE_MILLIS = 500;

    /** How long after the end of its wait a request is given up if the home has not decided, in milliseconds. */
    private static final long DECISION_GRACE_MILLIS = PlacementHome.MAX_OVERDUE_MILLIS + 100;

    private final String service;
    private final PlacementClient client;
    private final Map<Long, Waiting> waiting = new LinkedHashMap<>();
    private final Map<Long, InFlight> inFlight = new HashMap<>();
    private List<Placed> placed = new ArrayList<>();
    private List<FirstEvent> firstEvents = new ArrayList<>();
    private List<Long> ended = new ArrayList<>();
    private List<Outcome> outcomes = new ArrayList<>();
    private Map<String, WorkerLoad> loads = new LinkedHashMap<>();
    private List<LimitReport> limits = new ArrayList<>();
    private String home = "";
    private long session;
    private boolean servedBefore;
    private boolean complete;
    private long lastNumber;
    private long lastSentMillis;
    private long reportsSinceMillis = Long.MAX_VALUE;
    private long ticks;
    private long lastBatch;
    /** The ticks at which the batches without an answer were sent, by batch. */
    private final Map<Long, Long> unanswered = new LinkedHashMap<>();

    private record Waiting(PlacedRequest request, TimeReading asked, long waitMillis) {

        long latestStartMillis() {
            return asked.monotonicMillis() + waitMillis;
        }

        /** Returns whether the home can no longer decide in time, counting time for which the VM was suspended. */
        boolean overdue(TimeSource time) {
            return asked.maxAgeMillis(time) > waitMillis + DECISION_GRACE_MILLIS;
        }
    }

    /** A request that was sent to a worker. */
    private final class InFlight implements Placement {
        private final long number;
        private final String workerId;
        private final PromptShape prompt;
        private long unreadTokens;

        InFlight(long number, String workerId, PromptShape prompt, long unreadTokens) {
            this.number = number;
            this.workerId = workerId;
            this.prompt = prompt;
            this.unreadTokens = unreadTokens;
        }

        private Placed placed() {
            long sharedHash = prompt.prefixTokens() > 0 ? prompt.prefixHash() : 0;
            return new Placed(number, workerId, sharedHash, prompt.tokens(), unreadTokens);
        }

        @Override
        public void firstEvent(long afterMillis) {
            unreadTokens = 0;
            firstEvents.add(new FirstEvent(number, afterMillis));
            reportLater();
        }

        @Override
        public void load(WorkerLoad load) {
            loads.put(workerId, load);
        }

        @Override
        public void outcome(OutlierDetector.Outcome outcome) {
            outcomes.add(new Outcome(workerId, outcome));
            reportLater();
        }

        @Override
        public void ended() {
            if (inFlight.remove(number) != null) {
                reportEnd(number);
            }
        }
    }

    HomeLink(String service, PlacementClient client) {
        this.service = service;
        this.client = client;
    }

    String service() {
        return service;
    }

    boolean busy() {
        return !waiting.isEmpty() || !unanswered.isEmpty() || reportsSinceMillis != Long.MAX_VALUE;
    }

    int waitingRequests() {
        return waiting.size();
    }

    private long nowMillis() {
        return client.channel().nowMillis();
    }

    /** Sets the home. Requests that wait at another one are asked for again. */
    void useHome(String id) {
        if (home.equals(id)) {
            return;
        }
        servedBefore |= session != 0;
        home = id;
        session = 0;
        unanswered.clear();
        complete = true;
        askAgain();
    }

    private void askAgain() {
        List<Waiting> before = List.copyOf(waiting.values());
        waiting.clear();
        before.forEach(entry -> {
            long leftMillis = entry.latestStartMillis() - nowMillis();
            if (leftMillis > 0) {
                ask(entry.request(), leftMillis);
            } else {
                entry.request().onUndecided();
            }
        });
    }

    void ask(PlacedRequest request, long waitMillis) {
        lastNumber++;
        long number = lastNumber;
        waiting.put(
                number, new Waiting(request, TimeReading.now(client.channel().time()), waitMillis));
        WorkerDemand demand = request.demand();
        send(List.of(new Ask(
                number,
                request.priority(),
                demand.prompt(),
                demand.lane(),
                demand.objectiveMillis(),
                Math.max(0, demand.objectiveEndMillis() - nowMillis()),
                waitMillis,
                List.copyOf(demand.triedWorkers()),
                demand.softwareVersion(),
                request.answerTokens(),
                request.leftMillis())));
    }

    void withdraw(PlacedRequest request) {
        List<Long> numbers = new ArrayList<>();
        waiting.forEach((number, entry) -> {
            if (entry.request().equals(request)) {
                numbers.add(number);
            }
        });
        numbers.forEach(number -> {
            waiting.remove(number);
            reportEnd(number);
        });
    }

    Placement recordOwnDecision(String workerId, PromptShape prompt, long unreadTokens) {
        lastNumber++;
        InFlight own = new InFlight(lastNumber, workerId, prompt, unreadTokens);
        inFlight.put(lastNumber, own);
        placed.add(own.placed());
        reportLater();
        return own;
    }

    void reportLimit(LimitReport limit) {
        limits.add(limit);
        reportLater();
    }

    private void reportEnd(long number) {
        ended.add(number);
        reportLater();
    }

    private void reportLater() {
        reportsSinceMillis = Math.min(reportsSinceMillis, nowMillis());
        client.wake();
    }

    private void send(List<Ask> asks) {
        String to = home;
        List<Placed> reported = placed;
        if (complete) {
            reported = new ArrayList<>();
            for (InFlight request : inFlight.values()) {
                reported.add(request.placed());
            }
        }
        List<Load> reportedLoads = new ArrayList<>();
        loads.forEach((worker, load) -> reportedLoads.add(new Load(worker, load)));
        Batch batch = new Batch(
                service,
                client.dataCentre(),
                servedBefore,
                complete,
                asks,
                reported,
                firstEvents,
                ended,
                outcomes,
                reportedLoads,
                limits);
        placed = new ArrayList<>();
        firstEvents = new ArrayList<>();
        ended = new ArrayList<>();
        outcomes = new ArrayList<>();
        loads = new LinkedHashMap<>();
        limits = new ArrayList<>();
        complete = false;
        reportsSinceMillis = Long.MAX_VALUE;
        lastSentMillis = nowMillis();
        lastBatch++;
        long number = lastBatch;
        unanswered.put(number, ticks);
        client.wake();
        client.channel().send(to, batch, reply -> onReply(to, number, reply));
    }

    private void onReply(String from, long batch, Optional<Decisions> reply) {
        boolean awaited = unanswered.remove(batch) != null;
        if (reply.isEmpty() || reply.get().session() == 0) {
            if (awaited) {
                onNoAnswer(from);
            }
            return;
        }
        client.onAnswer(from);
        Decisions decisions = reply.get();
        decisions.decisions().forEach(decided -> onDecided(from, decided));
        if (!from.equals(home) || decisions.session() == session) {
            return;
        }
        boolean lostState = session != 0;
        session = decisions.session();
        if (lostState) {
            complete = true;
            servedBefore = true;
            reportLater();
            askAgain();
        }
    }

    /** Has the next home decide, or this node itself. */
    private void onNoAnswer(String from) {
        client.onSilence(from, service);
        unanswered.clear();
        complete = true;
        reportLater();
        Optional<String> next = client.selectHome(service);
        if (next.isPresent()) {
            useHome(next.get());
            return;
        }
        List<Waiting> undecided = List.copyOf(waiting.values());
        waiting.clear();
        undecided.forEach(this::giveUp);
    }

    private void giveUp(Waiting entry) {
        client.onFallback();
        entry.request().onUndecided();
    }

    void onDecided(String from, Decided decided) {
        long number = decided.number();
        if (decided.decision() instanceof PlacementDecision.Queued) {
            Waiting asked = waiting.get(number);
            if (asked != null && from.equals(home)) {
                asked.request().onQueued();
            }
            return;
        }
        Waiting entry = from.equals(home) ? waiting.remove(number) : null;
        if (entry == null) {
            if (decided.decision() instanceof PlacementDecision.Granted && !inFlight.containsKey(number)) {
                reportEnd(number);
            }
            return;
        }
        if (entry.overdue(client.channel().time())) {
            reportEnd(number);
            giveUp(entry);
        } else if (decided.decision() instanceof PlacementDecision.Granted granted) {
            InFlight placement = new InFlight(
                    number, granted.workerId(), entry.request().demand().prompt(), granted.unreadTokens());
            inFlight.put(number, placement);
            entry.request().onGranted(granted, placement);
        } else if (decided.decision() instanceof PlacementDecision.Refused refused) {
            entry.request().onRefused(refused);
        }
    }

    void tick() {
        long nowMillis = nowMillis();
        ticks++;
        giveUpOverdue();
        if (home.isEmpty()) {
            return;
        }
        boolean silent = unanswered.values().stream().anyMatch(sentTick -> ticks - sentTick > REPLY_TIMEOUT_TICKS);
        if (silent) {
            onNoAnswer(home);
            return;
        }
        boolean reportsDue = nowMillis - GATHER_MILLIS >= reportsSinceMillis;
        long sinceSentMillis = nowMillis - lastSentMillis;
        boolean keepaliveDue = !waiting.isEmpty() && sinceSentMillis >= WAITING_KEEPALIVE_MILLIS
                || !inFlight.isEmpty() && sinceSentMillis >= IN_FLIGHT_KEEPALIVE_MILLIS;
        if (reportsDue || keepaliveDue) {
            client.selectHome(service).ifPresent(this::useHome);
            send(List.of());
        }
    }

    private void giveUpOverdue() {
        List<Long> overdue = new ArrayList<>();
        waiting.forEach((number, entry) -> {
            if (entry.overdue(client.channel().time())) {
                overdue.add(number);
            }
        });
        overdue.forEach(number -> {
            Waiting entry = waiting.remove(number);
            reportEnd(number);
            giveUp(entry);
        });
    }
}
