package io.lagoonseam.bench.operation;

import io.lagoonseam.core.audit.NoopEventSink;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.membership.Member;
import io.lagoonseam.core.membership.MemberDirectory;
import io.lagoonseam.core.membership.MemberState;
import io.lagoonseam.core.operation.JournalOptions;
import io.lagoonseam.core.operation.OperationMessage;
import io.lagoonseam.core.operation.OperationReply;
import io.lagoonseam.core.operation.OwnerClient;
import io.lagoonseam.core.operation.ShardedOperationJournal;
import io.lagoonseam.core.operation.internal.JournalShard;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;

/** Nodes with sharded journals before one simulated store. Each node learns of the others' state with a lag. */
public final class SimulatedFleet {

    private static final long PEER_MILLIS = 1;
    private static final int DATA_CENTRES = 2;
    private static final long MEMBERSHIP_LAG_MILLIS = 700;

    private final List<SimulatedNode> nodes = new ArrayList<>();
    private final List<String> live = new ArrayList<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private final VirtualTime time;
    private final SimulatedStore store;
    private final RandomGenerator random;
    private final JournalOptions options;
    private final InvariantMonitor invariants = new InvariantMonitor(new NoopEventSink());
    private double loseRepliesShare;
    private int started;

    /**
     * Creates a fleet.
     *
     * @param time the virtual clock
     * @param store the platform
     * @param random the source of all choices
     * @param options the sizes and times of the journals
     * @param nodeCount the number of nodes
     */
    public SimulatedFleet(
            VirtualTime time, SimulatedStore store, RandomGenerator random, JournalOptions options, int nodeCount) {
        this.time = time;
        this.store = store;
        this.random = random;
        this.options = options;
        for (int index = 0; index < nodeCount; index++) {
            addNode();
        }
    }

    private SimulatedNode addNode() {
        SimulatedNode node = new SimulatedNode("entry-" + started++);
        Member self = member(node.nodeId());
        JournalShard.Environment environment = new JournalShard.Environment(
                store.viewOf(node),
                time,
                (delayMillis, task) -> time.schedule(delayMillis, () -> node.deliver(task)),
                random,
                invariants,
                options);
        OwnerClient client = (nodeId, message, timeoutMillis) -> forward(node, nodeId, message, timeoutMillis);
        node.journal(new ShardedOperationJournal(new Directory(self), client, environment));
        nodes.add(node);
        live.add(node.nodeId());
        listeners.forEach(Runnable::run);
        return node;
    }

    private static Member member(String nodeId) {
        int number = Integer.parseInt(nodeId.substring(nodeId.indexOf('-') + 1));
        return new Member(nodeId, number % DATA_CENTRES == 0 ? "zg-a" : "zg-b", "127.0.0.1", 0, 0, MemberState.ALIVE);
    }

    private final class Directory implements MemberDirectory {

        private final Member self;

        private Directory(Member self) {
            this.self = self;
        }

        @Override
        public Member self() {
            return self;
        }

        @Override
        public List<Member> liveMembers() {
            return live.stream()
                    .map(SimulatedFleet::member)
                    .filter(other -> other.dataCentre().equals(self.dataCentre()))
                    .toList();
        }

        @Override
        public void onChange(Runnable listener) {
            listeners.add(listener);
        }
    }

    private CompletionStage<OwnerClient.ForwardResult> forward(
            SimulatedNode sender, String nodeId, OperationMessage message, long timeoutMillis) {
        CompletableFuture<OwnerClient.ForwardResult> result = new CompletableFuture<>();
        Optional<SimulatedNode> receiver = nodes.stream()
                .filter(node -> nodeId.equals(OwnerClient.nameOf(member(node.nodeId()))) && !node.hasCrashed())
                .findFirst();
        if (receiver.isEmpty()) {
            time.schedule(PEER_MILLIS, () -> sender.deliver(() -> result.complete(noReply(false))));
            return result;
        }
        SimulatedNode target = receiver.get();
        time.schedule(timeoutMillis, () -> sender.deliver(() -> result.complete(noReply(true))));
        time.schedule(
                PEER_MILLIS,
                () -> target.deliver(() -> ((ShardedOperationJournal) target.journal())
                        .answer(message)
                        .thenAccept(reply -> sendReply(sender, result, reply))));
        return result;
    }

    private static OwnerClient.ForwardResult noReply(boolean sent) {
        return new OwnerClient.ForwardResult(sent, Optional.empty());
    }

    private void sendReply(
            SimulatedNode sender, CompletableFuture<OwnerClient.ForwardResult> result, OperationReply reply) {
        if (random.nextDouble() < loseRepliesShare) {
            return;
        }
        time.schedule(
                PEER_MILLIS,
                () -> sender.deliver(() -> result.complete(new OwnerClient.ForwardResult(true, Optional.of(reply)))));
    }

    /**
     * Sets the share of replies between nodes that are lost.
     *
     * @param share from 0 to 1
     */
    public void loseReplies(double share) {
        loseRepliesShare = share;
    }

    /**
     * Chooses a node that runs.
     *
     * @return the node
     */
    public SimulatedNode anyRunning() {
        List<SimulatedNode> running =
                nodes.stream().filter(SimulatedNode::isRunning).toList();
        return running.get(random.nextInt(running.size()));
    }

    /** Crashes a node and starts another under a new name. */
    public void crashOne() {
        SimulatedNode victim = anyRunning();
        victim.crash();
        leaveLater(victim);
        addNode();
    }

    /**
     * Pauses a node, if another goes on.
     *
     * @param millis the length of the pause
     */
    public void pauseOne(long millis) {
        if (nodes.stream().filter(SimulatedNode::isRunning).count() < 2) {
            return;
        }
        SimulatedNode victim = anyRunning();
        victim.pause();
        leaveLater(victim);
        time.schedule(millis, () -> {
            if (victim.hasCrashed()) {
                return;
            }
            victim.resume();
            if (!live.contains(victim.nodeId())) {
                live.add(victim.nodeId());
                listeners.forEach(Runnable::run);
            }
        });
    }

    private void leaveLater(SimulatedNode node) {
        time.schedule(MEMBERSHIP_LAG_MILLIS, () -> {
            if (!node.isRunning() && live.remove(node.nodeId())) {
                listeners.forEach(Runnable::run);
            }
        });
    }

    /**
     * Returns the checks at run time of all nodes.
     *
     * @return the monitor
     */
    public InvariantMonitor invariants() {
        return invariants;
    }

    /**
     * Returns the outcomes that nodes which have not crashed know and that are not durable.
     *
     * @return a number of outcomes
     */
    public int unrecordedOutcomes() {
        return nodes.stream()
                .filter(node -> !node.hasCrashed())
                .mapToInt(node -> ((ShardedOperationJournal) node.journal()).unrecordedOutcomes())
                .sum();
    }
}
