package io.lagoonseam.core.placement;

import io.lagoonseam.core.forward.Lane;
import io.lagoonseam.core.forward.LatencyLanes;
import io.lagoonseam.core.forward.OutlierDetector;
import io.lagoonseam.core.forward.RequestQueue;
import io.lagoonseam.core.forward.ServiceWorkers;
import io.lagoonseam.core.forward.UpstreamChooser;
import io.lagoonseam.core.forward.UpstreamState;
import io.lagoonseam.core.forward.WorkerLoad;
import io.lagoonseam.core.ratelimit.Permit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * Places the requests of all nodes on the workers of one service. It knows what each worker has in flight, which
 * requests wait, which prompts are still unread, and which prefixes have been read. Answers a burst that hits hundreds
 * of nodes at once: there is one queue, in order of priority, and a prefix is sent to a second worker only while the
 * first one cannot serve it in time. Not thread-safe.
 */
public final class PlacementHome {

    /** How long a placed request counts as lately placed, in milliseconds. */
    private static final long LESS_URGENT_PLACED_MILLIS = 1_000;

    /** How long a request that will be late is kept, in milliseconds. */
    public static final long MAX_OVERDUE_MILLIS = 300;

    private static final String NO_PLACE = "no place within the longest wait";

    /** The priority of requests that nodes have placed by themselves. */
    private static final int UNKNOWN_PRIORITY = 0;

    /**
     * The requests of one lane and priority for which no worker was found after which a pass over the queue tries no
     * further ones of that kind: the workers are full, and each try costs a look at all of them.
     */
    private static final int MAX_FAILED_TRIES = 12;

    private final ServiceWorkers workers;
    private final RequestQueue<PlacementRequest> queue = new RequestQueue<>();
    private final Map<PlacementKey, PlacementRequest> queued = new HashMap<>();
    /** The queued requests that will be late, and are kept since less urgent ones have been placed. */
    private final Set<PlacementKey> overdue = new HashSet<>();

    private final Map<PlacementKey, Placement> placements = new HashMap<>();
    private final Map<String, Set<PlacementKey>> keysByNode = new HashMap<>();
    private final LaneShare laneShare = new LaneShare();
    private final Map<String, String> lastSilentNode = new HashMap<>();
    /** The lowest priority that was placed lately, and when. */
    private int lowestPlacedPriority = -1;

    private long lowestPlacedMillis;
    private final OverloadRules rules;
    private final QueueLoad queueLoad = new QueueLoad();
    private final EngineRooms rooms;
    private double queuedTokens;
    private boolean changed;

    /** Queued requests that find a worker under the same conditions. */
    private record QueuedKind(Lane lane, int priority, boolean late, boolean goesOn) {}

    /**
     * A decision about a request that had been queued.
     *
     * @param key identifies the request
     * @param decision the decision, which is never {@link PlacementDecision.Queued}
     */
    public record LateDecision(PlacementKey key, PlacementDecision decision) {}

    /**
     * Creates a home without requests.
     *
     * @param workers the workers of the service, which only this home places requests on through this object
     */
    public PlacementHome(ServiceWorkers workers) {
        this(workers, OverloadRules.ALL);
    }

    /**
     * Creates a home without requests.
     *
     * @param workers the workers of the service, which only this home places requests on through this object
     * @param rules what it does about overload
     */
    public PlacementHome(ServiceWorkers workers, OverloadRules rules) {
        this.workers = workers;
        this.rules = rules;
        this.rooms = new EngineRooms(workers, rules.keepsEnds());
    }

    /**
     * Returns the workers, so that their records can be kept up to date.
     *
     * @return the workers
     */
    public ServiceWorkers workers() {
        return workers;
    }

    /**
     * Decides about a new request. The caller must have taken the decisions of {@link #dispatch} that are due,
     * otherwise the request may be placed before more urgent ones.
     *
     * @param request the request
     * @param nowMillis the current time, in milliseconds
     * @return the decision
     */
    public PlacementDecision submit(PlacementRequest request, long nowMillis) {
        Optional<PlacementDecision> granted = waitsBehind(request) ? Optional.empty() : place(request, nowMillis);
        long unreadTokens = granted.isPresent() && granted.get() instanceof PlacementDecision.Granted found
                ? found.unreadTokens()
                : unsharedTokens(request);
        laneShare.observe(request.demand().lane(), unreadTokens, nowMillis);
        if (granted.isPresent()) {
            return granted.get();
        }
        if (request.latestStartMillis() <= nowMillis) {
            return refusal(request, NO_PLACE, nowMillis);
        }
        if (cannotWaitForThoseBefore(request, nowMillis)) {
            return refusal(request, "those before it take longer than it can wait", nowMillis);
        }
        queue.add(request, request.priority(), request.latestStartMillis());
        queued.put(request.key(), request);
        queuedTokens += unsharedTokens(request);
        queueLoad.add(request.demand().lane(), request.priority(), unsharedTokens(request));
        remember(request.key());
        return new PlacementDecision.Queued();
    }

    /** Returns whether so many requests come before a new one that no worker is sought for it yet. */
    private boolean waitsBehind(PlacementRequest request) {
        return rules.boundsScans()
                && !request.demand().goesOn()
                && queueLoad.requestsBefore(request.demand().lane(), request.priority()) >= MAX_FAILED_TRIES;
    }

    /**
     * Returns whether the prompts before a new request take longer than it can wait. Its caller learns at once when to
     * come back. A request that less urgent ones have been placed before waits all the same.
     */
    private boolean cannotWaitForThoseBefore(PlacementRequest request, long nowMillis) {
        if (!waitsBehind(request) || lessUrgentPlaced(request, nowMillis)) {
            return false;
        }
        Lane lane = request.demand().lane();
        double tokensPerMilli = workers.tokensPerMilli(lane);
        long tokensBefore = queueLoad.tokensBefore(lane, request.priority());
        return tokensPerMilli > 0 && tokensBefore / tokensPerMilli > request.latestStartMillis() - nowMillis;
    }

    private boolean lessUrgentPlaced(PlacementRequest request, long nowMillis) {
        return lowestPlacedPriority > request.priority() && nowMillis - lowestPlacedMillis <= LESS_URGENT_PLACED_MILLIS;
    }

    /** Returns whether queued requests should be dispatched, since the state of a worker has changed. */
    public boolean dispatchDue() {
        return changed && !queued.isEmpty();
    }

    /**
     * Places queued requests, in order, and refuses those that can no longer start in time.
     *
     * @param nowMillis the current time, in milliseconds
     * @return the decisions
     */
    public List<LateDecision> dispatch(long nowMillis) {
        changed = false;
        List<LateDecision> decisions = new ArrayList<>();
        Map<QueuedKind, Integer> failures = new HashMap<>();
        queue.dispatch(request -> {
            QueuedKind kind = new QueuedKind(
                    request.demand().lane(),
                    request.priority(),
                    overdue.contains(request.key()),
                    request.demand().goesOn());
            if (rules.boundsScans() && failures.getOrDefault(kind, 0) >= MAX_FAILED_TRIES) {
                return false;
            }
            Optional<PlacementDecision> granted = overdue.contains(request.key())
                    ? place(request, workers.chooseEvenIfLate(request.demand(), nowMillis), nowMillis)
                    : place(request, nowMillis);
            granted.ifPresent(decision -> {
                dequeue(request);
                decisions.add(new LateDecision(request.key(), decision));
            });
            if (granted.isEmpty()) {
                failures.merge(kind, 1, Integer::sum);
            }
            return granted.isPresent();
        });
        for (PlacementRequest expired : queue.expire(nowMillis)) {
            onExpired(expired, nowMillis)
                    .ifPresent(decision -> decisions.add(new LateDecision(expired.key(), decision)));
        }
        return decisions;
    }

    /**
     * Decides about a request that can no longer start in time. If less urgent ones have been placed lately, it is
     * placed late, or keeps its place in the queue for a while: a caller is not refused for the sake of less urgent
     * ones.
     */
    private Optional<PlacementDecision> onExpired(PlacementRequest request, long nowMillis) {
        if (lessUrgentPlaced(request, nowMillis)) {
            Optional<PlacementDecision> late =
                    place(request, workers.chooseEvenIfLate(request.demand(), nowMillis), nowMillis);
            if (late.isPresent()) {
                dequeue(request);
                return late;
            }
            if (overdue.add(request.key())) {
                queue.add(request, request.priority(), request.latestStartMillis() + MAX_OVERDUE_MILLIS);
                return Optional.empty();
            }
        }
        dequeue(request);
        forget(request.key());
        laneShare.observeRefusal(request.demand().lane(), nowMillis);
        return Optional.of(refusal(request, NO_PLACE, nowMillis));
    }

    private void dequeue(PlacementRequest request) {
        overdue.remove(request.key());
        queued.remove(request.key());
        queuedTokens -= unsharedTokens(request);
        queueLoad.remove(request.demand().lane(), request.priority(), unsharedTokens(request));
    }

    private static int unsharedTokens(PlacementRequest request) {
        return request.demand().prompt().tokens() - request.demand().prompt().prefixTokens();
    }

    private PlacementDecision refusal(PlacementRequest request, String reason, long nowMillis) {
        Lane lane = request.demand().lane();
        double queuedMillis = workers.workers().values().stream()
                .mapToDouble(worker -> worker.firstEventTime().readingMillis(queuedTokens))
                .average()
                .orElse(0);
        double backlogMillis = workers.backlogMillis(lane, nowMillis)
                + queuedMillis / Math.max(1, workers.workers().size());
        long limitMillis = workers.limitBacklogMillis(queued.size(), nowMillis);
        return new PlacementDecision.Refused(Math.max(Math.round(backlogMillis), limitMillis), reason);
    }

    private Optional<PlacementDecision> place(PlacementRequest request, long nowMillis) {
        return place(request, workers.choose(request.demand(), rooms.room(request, nowMillis), nowMillis), nowMillis);
    }

    private void recordPriority(int priority, long nowMillis) {
        if (priority >= lowestPlacedPriority || nowMillis - lowestPlacedMillis > LESS_URGENT_PLACED_MILLIS) {
            lowestPlacedPriority = priority;
            lowestPlacedMillis = nowMillis;
        }
    }

    private Optional<PlacementDecision> place(
            PlacementRequest request, Optional<UpstreamChooser.Choice> choice, long nowMillis) {
        if (choice.isEmpty()) {
            return Optional.empty();
        }
        recordPriority(request.priority(), nowMillis);
        UpstreamState worker = choice.get().worker();
        Permit permit = workers.takePermit(worker);
        long tokensAhead = worker.pendingTokens(nowMillis, request.demand().homePriority());
        var prompt = request.demand().prompt();
        workers.observePrompt(
                request.demand().lane(), prompt.tokens(), choice.get().unreadTokens());
        Placement placement = new Placement(
                worker,
                prompt.prefixTokens() > 0 ? prompt.prefixHash() : 0,
                prompt.prefixTokens(),
                prompt.tokens(),
                tokensAhead,
                request.priority(),
                request.answer(),
                choice.get().unreadTokens());
        rooms.protect(placement, request, nowMillis);
        begin(request.key(), placement, nowMillis);
        return Optional.of(new PlacementDecision.Granted(
                worker.record().id(),
                choice.get().unreadTokens(),
                tokensAhead,
                choice.get().copyFrom().map(from -> from.record().id()).orElse(""),
                permit.limited(),
                choice.get().reason()));
    }

    private static void endReading(Placement placement) {
        placement.worker.promptRead(placement.unreadTokens);
        placement.worker.addPending(placement.priority, -placement.unreadTokens);
        placement.unreadTokens = 0;
    }

    private void begin(PlacementKey key, Placement placement, long nowMillis) {
        placement.worker.started(placement.unreadTokens, placement.promptTokens);
        placement.worker.addPending(placement.priority, placement.unreadTokens);
        rooms.begin(placement, nowMillis);
        placements.put(key, placement);
        remember(key);
    }

    /**
     * Records a request that a node has placed without this home: by its own decision, or through an earlier home.
     *
     * @param key identifies the request
     * @param workerId the id of its worker; the request is ignored if the worker is unknown
     * @param prefixHash its prefix hash
     * @param promptTokens the tokens of its prompt
     * @param unreadTokens the prompt tokens that the worker still has to read for it
     * @param nowMillis the current time, in milliseconds
     */
    public void recordPlaced(
            PlacementKey key, String workerId, long prefixHash, long promptTokens, long unreadTokens, long nowMillis) {
        UpstreamState worker = workers.workers().get(workerId);
        if (worker != null && !placements.containsKey(key)) {
            begin(
                    key,
                    new Placement(
                            worker,
                            prefixHash,
                            0,
                            promptTokens,
                            0,
                            UNKNOWN_PRIORITY,
                            ExpectedAnswer.UNKNOWN,
                            unreadTokens),
                    nowMillis);
        }
    }

    /**
     * Records the first event of a request: its prompt has been read.
     *
     * @param key identifies the request; unknown ones are ignored
     * @param afterMillis the time from sending the request to the event, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public void recordFirstEvent(PlacementKey key, long afterMillis, long nowMillis) {
        Placement placement = placements.get(key);
        if (placement == null || placement.read) {
            return;
        }
        placement.read = true;
        rooms.firstEvent(placement, nowMillis);
        // before a less urgent prompt that was begun, an unknown part of that was read first
        boolean exact = placement.worker.pendingTokens(nowMillis)
                == placement.worker.pendingTokens(nowMillis, OptionalInt.of(placement.priority));
        if (exact) {
            placement.worker.firstEventTime().observe(placement.tokensAhead + placement.unreadTokens, afterMillis);
        }
        if (placement.hasPrefix()) {
            placement.worker.cachedSegments().recordRead(placement.prefixHash, nowMillis);
        }
        endReading(placement);
        changed = true;
    }

    /**
     * Records that a request has ended.
     *
     * @param key identifies the request; unknown ones are ignored
     * @param nowMillis the current time, in milliseconds
     */
    public void recordEnd(PlacementKey key, long nowMillis) {
        Placement placement = placements.get(key);
        if (placement != null) {
            rooms.end(placement, nowMillis);
        }
        release(key);
    }

    /**
     * Forgets a request that no longer needs a place: it was not sent, or no longer waits.
     *
     * @param key identifies the request; unknown ones are ignored
     */
    public void release(PlacementKey key) {
        PlacementRequest waiting = queued.get(key);
        if (waiting != null) {
            queue.remove(waiting);
            dequeue(waiting);
        }
        Placement placement = placements.remove(key);
        if (placement != null) {
            rooms.release(placement);
            endReading(placement);
            placement.worker.ended(placement.promptTokens);
            changed = true;
        }
        forget(key);
    }

    /**
     * Records the outcome of an attempt at a worker. A node whose own links are broken finds many workers silent, so a
     * worker counts as silent only if two nodes in a row say so, and as failing otherwise.
     *
     * @param workerId the id of the worker; unknown ones are ignored
     * @param node the id of the node that made the attempt
     * @param outcome the outcome
     * @param nowMillis the current time, in milliseconds
     */
    public void recordOutcome(String workerId, String node, OutlierDetector.Outcome outcome, long nowMillis) {
        UpstreamState worker = workers.workers().get(workerId);
        if (worker == null) {
            return;
        }
        OutlierDetector.Outcome counted = outcome;
        if (outcome == OutlierDetector.Outcome.SILENT) {
            String before = lastSilentNode.put(workerId, node);
            counted = before == null || before.equals(node) ? OutlierDetector.Outcome.FAILED : outcome;
        } else {
            lastSilentNode.remove(workerId);
        }
        workers.observe(worker, counted, nowMillis);
        changed = true;
    }

    /**
     * Records the load that a worker reported in an answer.
     *
     * @param workerId the id of the worker; unknown ones are ignored
     * @param load its load
     * @param nowMillis the current time, in milliseconds
     */
    public void recordLoad(String workerId, WorkerLoad load, long nowMillis) {
        UpstreamState worker = workers.workers().get(workerId);
        if (worker != null) {
            worker.recordDirectLoad(load, nowMillis);
        }
    }

    /**
     * Forgets the requests of a node except those that it still has.
     *
     * @param node the id of the node
     * @param numbers the numbers of its requests in flight or waiting
     */
    public void retain(String node, Set<Long> numbers) {
        for (PlacementKey key : Set.copyOf(keysByNode.getOrDefault(node, Set.of()))) {
            if (!numbers.contains(key.number())) {
                release(key);
            }
        }
    }

    /** Records that the workers have changed, so that queued requests may find a place. */
    public void workersChanged() {
        changed = true;
        rooms.retainPresent();
        assignLanes();
    }

    /** Assigns the workers to lanes by the work that has arrived lately; called several times a second. */
    public void assignLanes() {
        LatencyLanes.assignWorkers(workers.workers().values(), laneShare.sensitiveShare());
    }

    /**
     * Forgets the requests of a node that has ended or no longer responds.
     *
     * @param node the id of the node
     */
    public void dropNode(String node) {
        Set.copyOf(keysByNode.getOrDefault(node, Set.of())).forEach(this::release);
    }

    private void remember(PlacementKey key) {
        keysByNode.computeIfAbsent(key.node(), node -> new HashSet<>()).add(key);
    }

    private void forget(PlacementKey key) {
        Set<PlacementKey> keys = keysByNode.get(key.node());
        if (keys != null && keys.remove(key) && keys.isEmpty()) {
            keysByNode.remove(key.node());
        }
    }

    /** Returns the number of requests that wait. */
    public int queuedRequests() {
        return queued.size();
    }

    /** Returns the number of requests in flight. */
    public int placedRequests() {
        return placements.size();
    }
}
