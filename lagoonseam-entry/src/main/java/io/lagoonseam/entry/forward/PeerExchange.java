package io.lagoonseam.entry.forward;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.forward.OutcomeCount;
import io.lagoonseam.core.forward.UpstreamState;
import io.lagoonseam.core.forward.WorkerLoad;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.wire.ForwardMessages;
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
 * Tells other nodes what this one has in flight at each worker and which revisions it knows, and asks a node that knows
 * more for its copy. So a node that the store turns away is still in step with the others.
 */
final class PeerExchange {

    /** The nodes that each round tells, so that a node's messages do not grow with the fleet. */
    static final int FAN_OUT = 8;

    /** The rounds without a change after which counts are told all the same. */
    private static final int QUIET_ROUNDS = 4;

    private static final long REQUEST_MILLIS = 800;

    /** The rounds of which one tells the outcomes of attempts: three of them reach a node while they hold. */
    private static final int OUTCOME_ROUNDS = 2;

    private static final long PULL_MILLIS = 1_500;

    private final ForwardEnvironment environment;
    private final PeerTransport transport;
    private final ForwardDispatcher dispatcher;
    private final NodeDirectory nodes;
    private final Knowledge knowledge;
    private final Set<String> lastTold = new HashSet<>();
    private ForwardMessages.State lastState;
    private int quietRounds;
    private int round;
    private int next;
    private boolean pulling;

    /** What this node knows of the store, and can take over from another node. */
    interface Knowledge {

        /** Returns the version of the configuration in force, -1 before the first. */
        long configurationVersion();

        /** Returns the store's revision up to which the workers are known, -1 before the first listing. */
        long upstreamRevision();

        /** Returns a copy of both. */
        ForwardMessages.Snapshot snapshot();

        /** Takes over what is newer in another node's copy. */
        void take(ForwardMessages.Snapshot snapshot);
    }

    PeerExchange(
            ForwardEnvironment environment,
            PeerTransport transport,
            ForwardDispatcher dispatcher,
            NodeDirectory nodes,
            Knowledge knowledge) {
        this.environment = environment;
        this.transport = transport;
        this.dispatcher = dispatcher;
        this.nodes = nodes;
        this.knowledge = knowledge;
        transport.register(MessageTypes.FORWARD_STATE, this::onState);
        transport.register(
                MessageTypes.FORWARD_PULL,
                (sender, payload) -> CompletableFuture.completedFuture(ForwardMessages.encode(knowledge.snapshot())));
    }

    /** Tells some nodes the state of this one. */
    void tick() {
        List<String> peers = nodes.peers(environment.random());
        if (peers.isEmpty()) {
            return;
        }
        ForwardMessages.State state = state();
        quietRounds = state.equals(lastState) ? quietRounds + 1 : 0;
        lastState = state;
        if (quietRounds % QUIET_ROUNDS != 0) {
            return;
        }
        round++;
        Map<String, OutcomeCount> outcomes = round % OUTCOME_ROUNDS == 0 ? recentOutcomes() : Map.of();
        byte[] payload = ForwardMessages.encode(state.with(outcomes, loads(peers)));
        dispatcher.partsTold();
        int count = Math.min(FAN_OUT, peers.size());
        for (int index = 0; index < count; index++) {
            next = (next + 1) % peers.size();
            tell(peers.get(next), payload);
        }
    }

    private void tell(String peer, byte[] payload) {
        transport
                .request(peer, MessageTypes.FORWARD_STATE, payload, REQUEST_MILLIS)
                .thenAccept(reply -> environment.vertx().runOnContext(nothing -> onReply(peer, reply)));
    }

    private void onReply(String peer, PeerReply reply) {
        if (reply instanceof PeerReply.Answered answered) {
            onVersions(peer, ForwardMessages.decodeState(answered.payload()));
        }
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
     * Returns what workers told this node lately, and uses it here too: where the counts of all nodes do not arrive in
     * time, it takes their place.
     */
    private Map<String, WorkerLoad> loads(List<String> peers) {
        Map<String, WorkerLoad> loads = new HashMap<>();
        if (peers.size() <= FAN_OUT) {
            return loads;
        }
        long nowMillis = environment.time().monotonicMillis();
        for (UpstreamState worker : dispatcher.workers()) {
            worker.freshHint(nowMillis).ifPresent(load -> {
                worker.passedOnHint(load, nowMillis);
                loads.put(worker.record().id(), load);
            });
        }
        return loads;
    }

    /** Returns what is told in each round, and notes that it is told: called once a round. */
    private ForwardMessages.State state() {
        Map<String, ForwardMessages.Count> counts = new HashMap<>();
        Set<String> told = new HashSet<>();
        for (UpstreamState worker : dispatcher.workers()) {
            String id = worker.record().id();
            if (worker.ownInFlight() > 0 || worker.ownPendingTokens() > 0 || lastTold.contains(id)) {
                counts.put(id, new ForwardMessages.Count(worker.ownInFlight(), worker.ownPendingTokens()));
            }
            if (worker.ownInFlight() > 0) {
                told.add(id);
            }
        }
        lastTold.clear();
        lastTold.addAll(told);
        return state(counts, dispatcher.partsRead());
    }

    private ForwardMessages.State state(Map<String, ForwardMessages.Count> counts, Map<String, List<Long>> parts) {
        return new ForwardMessages.State(
                knowledge.configurationVersion(), knowledge.upstreamRevision(), counts, parts, Map.of(), Map.of());
    }

    private CompletionStage<byte[]> onState(String sender, byte[] payload) {
        ForwardMessages.State state = ForwardMessages.decodeState(payload);
        long nowMillis = environment.time().monotonicMillis();
        forWorkers(
                state.counts(),
                (worker, count) -> worker.peerCount(sender, count.inFlight(), count.pendingTokens(), nowMillis));
        forWorkers(
                state.parts(),
                (worker, parts) -> parts.forEach(part -> worker.keptParts().used(part, nowMillis)));
        forWorkers(state.outcomes(), (worker, outcomes) -> worker.peerOutcomes(sender, outcomes, nowMillis));
        forWorkers(state.loads(), (worker, load) -> worker.passedOnHint(load, nowMillis));
        onVersions(sender, state);
        return CompletableFuture.completedFuture(ForwardMessages.encode(state(Map.of(), Map.of())));
    }

    /** Hands what was told of each worker to those that get work here. */
    private <T> void forWorkers(Map<String, T> told, BiConsumer<UpstreamState, T> use) {
        told.forEach((id, value) -> dispatcher.worker(id).ifPresent(worker -> use.accept(worker, value)));
    }

    private void onVersions(String peer, ForwardMessages.State state) {
        nodes.heard(peer);
        boolean ahead = state.configurationVersion() > knowledge.configurationVersion()
                || state.upstreamRevision() > knowledge.upstreamRevision();
        if (ahead && !pulling) {
            pull(peer);
        }
    }

    private void pull(String peer) {
        pulling = true;
        transport
                .request(peer, MessageTypes.FORWARD_PULL, new byte[0], PULL_MILLIS)
                .thenAccept(reply -> environment.vertx().runOnContext(nothing -> onPulled(peer, reply)));
    }

    private void onPulled(String peer, PeerReply reply) {
        pulling = false;
        if (reply instanceof PeerReply.Answered answered) {
            knowledge.take(ForwardMessages.decodeSnapshot(answered.payload()));
        } else {
            environment.events().record(EventCode.PEER_SILENT, peer + " did not hand over its copy: " + reply);
        }
    }

    /** Asks nodes for their copies until one is known, when the store does not answer at the start. */
    void askForCopy() {
        List<String> peers = nodes.peers(environment.random());
        if (knowledge.configurationVersion() >= 0 || peers.isEmpty() || pulling) {
            return;
        }
        pull(peers.get(environment.random().nextInt(peers.size())));
    }
}
