package io.lagoonseam.entry.forward;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.forward.OutcomeCount;
import io.lagoonseam.core.forward.UpstreamState;
import io.lagoonseam.core.forward.WorkerLoad;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.ratelimit.AnnouncedLimits;
import io.lagoonseam.core.ratelimit.LimitReport;
import io.lagoonseam.wire.ForwardMessages;
import io.lagoonseam.wire.ForwardMessages.InFlightCount;
import io.lagoonseam.wire.MessageTypes;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;

/**
 * Exchanges state with other nodes: reports what this node has in flight at each worker and which revisions it holds,
 * and pulls the snapshot of a node that holds newer ones. This keeps a node up to date whose own calls the store
 * rejects.
 */
final class ForwardStateExchange {

    /**
     * Number of nodes that receive the state in each broadcast; constant, so that the message rate of a node does not
     * grow with the number of nodes.
     */
    static final int FAN_OUT = 8;

    /** Number of rounds with unchanged state after which the state is sent all the same. */
    private static final int MAX_UNCHANGED_ROUNDS = 4;

    /**
     * The same, and the number of nodes that receive a broadcast, where homes place requests: then only changes of
     * revisions and announcements of workers are exchanged, which all nodes send on.
     */
    private static final int MAX_UNCHANGED_ROUNDS_WITH_HOMES = 16;

    private static final int FAN_OUT_WITH_HOMES = 4;

    private static final long REQUEST_TIMEOUT_MILLIS = 800;

    /**
     * Number of broadcasts from one that includes attempt outcomes to the next; with this number, three reports of a
     * node arrive within the time for which its outcomes are valid.
     */
    private static final int OUTCOME_INTERVAL = 2;

    /**
     * How long a node that is behind a peer waits for its own watch before it pulls the peer's snapshot, in
     * milliseconds: longer than changes are gathered between two watches.
     */
    private static final long PULL_DELAY_MILLIS = 600;

    private static final long PULL_TIMEOUT_MILLIS = 1_500;

    private final ForwardEnvironment environment;
    private final PeerTransport transport;
    private final ForwardDispatcher dispatcher;
    private final NodeDirectory nodes;
    private final StoreState storeState;
    /**
     * Ids of the workers with requests in flight in the last round. They are reported once more, with a count of 0 if
     * their last request has ended; otherwise peers would go on counting it until their copy of the count expires.
     */
    private final Set<String> lastReportedBusy = new HashSet<>();

    private ForwardMessages.State lastState;
    private long lastLimitChanges;
    private int unchangedRounds;
    private int broadcasts;
    private int nextPeer;
    private boolean pulling;

    /** The state of the store as this node holds it, which can be updated from a snapshot of another node. */
    interface StoreState {

        /** Returns the version of the configuration in force, -1 before the first. */
        long configurationVersion();

        /** Returns the store revision up to which the workers are known, -1 before the first listing. */
        long upstreamRevision();

        /** Returns a snapshot of the configuration and the workers. */
        ForwardMessages.Snapshot snapshot();

        /** Applies the newer entries of another node's snapshot. */
        void apply(ForwardMessages.Snapshot snapshot);
    }

    ForwardStateExchange(
            ForwardEnvironment environment,
            PeerTransport transport,
            ForwardDispatcher dispatcher,
            NodeDirectory nodes,
            StoreState storeState) {
        this.environment = environment;
        this.transport = transport;
        this.dispatcher = dispatcher;
        this.nodes = nodes;
        this.storeState = storeState;
        transport.register(MessageTypes.FORWARD_STATE, this::onState);
        transport.register(
                MessageTypes.FORWARD_PULL,
                (sender, payload) -> CompletableFuture.completedFuture(ForwardMessages.encode(storeState.snapshot())));
    }

    /**
     * Runs one round: sends the state of this node to some nodes if it has changed, or if it has been unchanged for a
     * multiple of {@link #MAX_UNCHANGED_ROUNDS} rounds.
     */
    void broadcast() {
        List<String> peers = nodes.peers(environment.random());
        if (peers.isEmpty()) {
            return;
        }
        ForwardMessages.State state = state();
        boolean unchanged = state.equals(lastState) && limits().changes() == lastLimitChanges;
        unchangedRounds = unchanged ? unchangedRounds + 1 : 0;
        lastState = state;
        lastLimitChanges = limits().changes();
        int maxUnchangedRounds = nodes.homesPlace() ? MAX_UNCHANGED_ROUNDS_WITH_HOMES : MAX_UNCHANGED_ROUNDS;
        if (unchangedRounds % maxUnchangedRounds != 0) {
            return;
        }
        broadcasts++;
        boolean outcomesDue = broadcasts % OUTCOME_INTERVAL == 0 && !nodes.homesPlace();
        Map<String, OutcomeCount> outcomes = outcomesDue ? recentOutcomes() : Map.of();
        byte[] payload = ForwardMessages.encode(
                state.withOutcomesAndLoads(outcomes, recentLoads(peers)).withLimits(limitReports()));
        dispatcher.clearNewlyCachedSegments();
        if (nodes.homesPlace()) {
            // nodes that notice the same change at the same time should not all tell the same peers
            nextPeer = environment.random().nextInt(peers.size());
        }
        int count = Math.min(nodes.homesPlace() ? FAN_OUT_WITH_HOMES : FAN_OUT, peers.size());
        for (int index = 0; index < count; index++) {
            nextPeer = (nextPeer + 1) % peers.size();
            send(peers.get(nextPeer), payload);
        }
    }

    private AnnouncedLimits limits() {
        return dispatcher.announcements().limits();
    }

    private List<LimitReport> limitReports() {
        return limits().reports(environment.time().monotonicMillis());
    }

    private void send(String peer, byte[] payload) {
        transport
                .request(peer, MessageTypes.FORWARD_STATE, payload, REQUEST_TIMEOUT_MILLIS)
                .thenAccept(reply -> environment.vertx().runOnContext(nothing -> onReply(peer, reply)));
    }

    private void onReply(String peer, PeerReply reply) {
        if (reply instanceof PeerReply.Answered answered) {
            ForwardMessages.State state = ForwardMessages.decodeState(answered.payload());
            applyAnnouncements(state);
            onPeerVersions(peer, state);
        }
    }

    private void applyAnnouncements(ForwardMessages.State state) {
        dispatcher.announcements().markLeaving(state.leavingWorkers());
        forEachWorker(state.pauseMillis(), dispatcher.announcements()::pause);
        state.limits().forEach(dispatcher.announcements()::applyLimit);
    }

    private Map<String, OutcomeCount> recentOutcomes() {
        long nowMillis = environment.time().monotonicMillis();
        Map<String, OutcomeCount> outcomes = new HashMap<>();
        for (UpstreamState worker : dispatcher.workers()) {
            OutcomeCount count = worker.recentOutcomes().count(nowMillis);
            if (count.outcomes() > 0) {
                outcomes.put(worker.record().id(), count);
            }
        }
        return outcomes;
    }

    /**
     * Returns the load reports that this node recently received from workers, and applies them locally too. They
     * replace the in-flight counts of the nodes if there are too many nodes for the counts of all of them to arrive in
     * time.
     *
     * @param peers the nodes to contact; if every broadcast reaches all of them, the result is empty
     */
    private Map<String, WorkerLoad> recentLoads(List<String> peers) {
        Map<String, WorkerLoad> loads = new HashMap<>();
        if (peers.size() <= FAN_OUT || nodes.homesPlace()) {
            return loads;
        }
        long nowMillis = environment.time().monotonicMillis();
        for (UpstreamState worker : dispatcher.workers()) {
            worker.recentDirectLoad(nowMillis).ifPresent(load -> {
                worker.recordForwardedLoad(load, nowMillis);
                loads.put(worker.record().id(), load);
            });
        }
        return loads;
    }

    /** Returns the state for this round and records which workers it reports as busy; must be called once per round. */
    private ForwardMessages.State state() {
        if (nodes.homesPlace()) {
            // the homes know what is in flight and which prefixes are cached
            dispatcher.clearNewlyCachedSegments();
            return state(Map.of(), Map.of());
        }
        Map<String, InFlightCount> counts = new HashMap<>();
        Set<String> reported = new HashSet<>();
        for (UpstreamState worker : dispatcher.workers()) {
            String id = worker.record().id();
            if (worker.ownInFlight() > 0 || worker.ownPendingTokens() > 0 || lastReportedBusy.contains(id)) {
                counts.put(id, new InFlightCount(worker.ownInFlight(), worker.ownPendingTokens()));
            }
            if (worker.ownInFlight() > 0) {
                reported.add(id);
            }
        }
        lastReportedBusy.clear();
        lastReportedBusy.addAll(reported);
        return state(counts, dispatcher.newlyCachedSegments());
    }

    private ForwardMessages.State state(Map<String, InFlightCount> counts, Map<String, List<Long>> segments) {
        return new ForwardMessages.State(
                storeState.configurationVersion(),
                storeState.upstreamRevision(),
                counts,
                segments,
                Map.of(),
                Map.of(),
                dispatcher.announcements().recentlyLeaving(),
                pauses(),
                List.of());
    }

    private Map<String, Long> pauses() {
        long nowMillis = environment.time().monotonicMillis();
        Map<String, Long> pauses = new HashMap<>();
        for (UpstreamState worker : dispatcher.workers()) {
            long millis = worker.pauseMillis(nowMillis);
            if (millis > 0) {
                pauses.put(worker.record().id(), millis);
            }
        }
        return pauses;
    }

    private CompletionStage<byte[]> onState(String sender, byte[] payload) {
        ForwardMessages.State state = ForwardMessages.decodeState(payload);
        long nowMillis = environment.time().monotonicMillis();
        forEachWorker(
                state.counts(),
                (worker, count) -> worker.recordPeerLoad(sender, count.inFlight(), count.pendingTokens(), nowMillis));
        forEachWorker(
                state.prefixSegments(),
                (worker, segments) ->
                        segments.forEach(segment -> worker.cachedSegments().recordRead(segment, nowMillis)));
        forEachWorker(state.outcomes(), (worker, outcomes) -> worker.recordPeerOutcomes(sender, outcomes, nowMillis));
        forEachWorker(state.loads(), (worker, load) -> worker.recordForwardedLoad(load, nowMillis));
        applyAnnouncements(state);
        onPeerVersions(sender, state);
        ForwardMessages.State own = state(Map.of(), Map.of()).withLimits(limitReports());
        return CompletableFuture.completedFuture(ForwardMessages.encode(own));
    }

    /** Applies reported values to those of the workers that are serving for this node. */
    private <T> void forEachWorker(Map<String, T> reported, BiConsumer<UpstreamState, T> use) {
        reported.forEach((id, value) -> dispatcher.worker(id).ifPresent(worker -> use.accept(worker, value)));
    }

    /** Records a message from a peer, and pulls the snapshot of the peer if it holds newer versions. */
    private void onPeerVersions(String peer, ForwardMessages.State state) {
        nodes.onMessage(peer);
        if (isAhead(state) && !pulling) {
            pulling = true;
            environment.vertx().setTimer(PULL_DELAY_MILLIS, timer -> {
                pulling = false;
                if (isAhead(state)) {
                    pull(peer);
                }
            });
        }
    }

    private boolean isAhead(ForwardMessages.State state) {
        return state.configurationVersion() > storeState.configurationVersion()
                || state.upstreamRevision() > storeState.upstreamRevision();
    }

    private void pull(String peer) {
        pulling = true;
        transport
                .request(peer, MessageTypes.FORWARD_PULL, new byte[0], PULL_TIMEOUT_MILLIS)
                .thenAccept(reply -> environment.vertx().runOnContext(nothing -> onPulled(peer, reply)));
    }

    private void onPulled(String peer, PeerReply reply) {
        pulling = false;
        if (reply instanceof PeerReply.Answered answered) {
            storeState.apply(ForwardMessages.decodeSnapshot(answered.payload()));
        } else {
            environment.events().record(EventCode.PEER_SILENT, peer + " did not return its snapshot: " + reply);
        }
    }

    /**
     * Pulls the snapshot of a random node if no configuration is known yet, so that a node can start while the store
     * does not respond.
     */
    void pullIfUnconfigured() {
        List<String> peers = nodes.peers(environment.random());
        if (storeState.configurationVersion() >= 0 || peers.isEmpty() || pulling) {
            return;
        }
        pull(peers.get(environment.random().nextInt(peers.size())));
    }
}
