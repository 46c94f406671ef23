package io.lagoonseam.bench.experiment.placement;

import io.lagoonseam.core.forward.OutlierDetector;
import io.lagoonseam.core.forward.RequestQueue;
import io.lagoonseam.core.forward.ServiceWorkers;
import io.lagoonseam.core.forward.UpstreamChooser;
import io.lagoonseam.core.forward.UpstreamState;
import io.lagoonseam.core.forward.WorkerLoad;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;

/**
 * Each node places its requests by itself. Four times a second it tells eight others what it has in flight, which
 * prefixes were read for it, and the loads that workers reported.
 */
final class ExchangeWay implements PlacementWay {

    private static final int FAN_OUT = 8;
    private static final long INTERVAL_MILLIS = 250;
    private static final long DISPATCH_MILLIS = 10;
    private static final double WAIT_SHARE = 0.35;

    private final int slots;
    private final Actions actions;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<ModelRequest, Sent> sent = new HashMap<>();
    private long messages;

    private record Sent(UpstreamState worker, long unreadTokens, long tokensAhead, long sentMillis) {}

    /** One node. */
    private static final class Node {
        private final ServiceWorkers workers;
        private final RequestQueue<ModelRequest> queue = new RequestQueue<>();
        private final Map<String, List<Long>> read = new HashMap<>();
        private int nextPeer;

        Node(EngineSpec engine) {
            this.workers = ModelWorkers.create(engine);
        }
    }

    ExchangeWay(int nodeCount, EngineSpec engine, Actions actions, Random random) {
        this.slots = engine.slots();
        this.actions = actions;
        for (int index = 0; index < nodeCount; index++) {
            Node node = new Node(engine);
            node.nextPeer = random.nextInt(nodeCount);
            nodes.add(node);
        }
    }

    @Override
    public void submit(ModelRequest request, long nowMillis) {
        Node node = nodes.get(request.node);
        long waitMillis = Math.round(WAIT_SHARE * request.kind.objectiveMillis());
        node.queue.add(request, request.kind.priority(), nowMillis + waitMillis);
        dispatch(node, nowMillis);
    }

    private void dispatch(Node node, long nowMillis) {
        node.queue.dispatch(request -> place(node, request, nowMillis));
        node.queue.expire(nowMillis).forEach(request -> actions.refuse(request, 0));
    }

    private boolean place(Node node, ModelRequest request, long nowMillis) {
        if (request.ended) {
            return true;
        }
        Optional<UpstreamChooser.Choice> choice =
                node.workers.choose(request.demand(request.kind.lane(), OptionalInt.empty()), nowMillis);
        choice.ifPresent(found -> {
            UpstreamState worker = found.worker();
            sent.put(request, new Sent(worker, found.unreadTokens(), worker.pendingTokens(nowMillis), nowMillis));
            node.workers.observePrompt(request.kind.lane(), request.prompt.tokens(), found.unreadTokens());
            worker.started(found.unreadTokens(), request.prompt.tokens());
            worker.cachedSegments().recordUse(request.prompt.prefixHash(), nowMillis);
            actions.send(
                    request,
                    ModelWorkers.index(worker.record().id()),
                    found.copyFrom()
                            .map(from -> ModelWorkers.index(from.record().id()))
                            .orElse(-1),
                    nowMillis + 1);
        });
        return choice.isPresent();
    }

    @Override
    public void tick(long nowMillis) {
        for (int index = 0; index < nodes.size(); index++) {
            Node node = nodes.get(index);
            if (node.queue.size() > 0 && nowMillis % DISPATCH_MILLIS == index % DISPATCH_MILLIS) {
                dispatch(node, nowMillis);
            }
            if (nowMillis % INTERVAL_MILLIS == index * 7L % INTERVAL_MILLIS) {
                broadcast(index, node, nowMillis);
            }
        }
    }

    private void broadcast(int sender, Node node, long nowMillis) {
        boolean reachesAll = nodes.size() <= FAN_OUT + 1;
        for (int count = 0; count < Math.min(FAN_OUT, nodes.size() - 1); count++) {
            node.nextPeer = (node.nextPeer + 1) % nodes.size();
            if (node.nextPeer == sender) {
                node.nextPeer = (node.nextPeer + 1) % nodes.size();
            }
            messages += 2;
            tell(node, "n" + sender, nodes.get(node.nextPeer), reachesAll, nowMillis);
        }
        node.read.clear();
    }

    private static void tell(Node from, String sender, Node to, boolean reachesAll, long nowMillis) {
        from.workers.workers().forEach((id, worker) -> {
            UpstreamState view = to.workers.workers().get(id);
            if (view == null) {
                return;
            }
            view.recordPeerLoad(sender, worker.ownInFlight(), worker.ownPendingTokens(), nowMillis);
            if (!reachesAll) {
                worker.recentDirectLoad(nowMillis).ifPresent(load -> view.recordForwardedLoad(load, nowMillis));
            }
        });
        from.read.forEach((id, prefixes) -> {
            UpstreamState view = to.workers.workers().get(id);
            if (view != null) {
                prefixes.forEach(prefix -> view.cachedSegments().recordRead(prefix, nowMillis));
            }
        });
    }

    @Override
    public void onFirstEvent(ModelRequest request, int worker, int running, int waiting, long nowMillis) {
        Sent entry = sent.get(request);
        if (entry == null) {
            return;
        }
        UpstreamState state = entry.worker;
        state.firstEventTime().observe(entry.tokensAhead + entry.unreadTokens, nowMillis - entry.sentMillis);
        state.promptRead(entry.unreadTokens);
        sent.put(request, new Sent(state, 0, 0, entry.sentMillis));
        state.recordDirectLoad(new WorkerLoad(running, waiting), nowMillis);
        state.cachedSegments().recordRead(request.prompt.prefixHash(), nowMillis);
        nodes.get(request.node)
                .read
                .computeIfAbsent(state.record().id(), id -> new ArrayList<>())
                .add(request.prompt.prefixHash());
    }

    @Override
    public void onEnd(ModelRequest request, int worker, boolean failed, long nowMillis) {
        Sent entry = sent.remove(request);
        if (entry != null) {
            entry.worker.promptRead(entry.unreadTokens);
            entry.worker.ended(request.prompt.tokens());
            if (failed) {
                nodes.get(request.node).workers.observe(entry.worker, OutlierDetector.Outcome.SILENT, nowMillis);
            }
            dispatch(nodes.get(request.node), nowMillis);
        }
    }

    @Override
    public void workers(List<Integer> serving, long nowMillis) {
        nodes.forEach(node -> ModelWorkers.update(node.workers, serving, slots));
    }

    @Override
    public long messages() {
        return messages;
    }
}
