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

/**
 * Simulates nodes with sharded journals that share one store. A node that has crashed or is paused is removed from the
 * membership 700 ms later if it does not run by then; a node that starts or resumes is added at once.
 */
public final class SimulatedFleet {

    private static final long PEER_DELAY_MILLIS = 1;
    private static final int DATA_CENTRES = 2;
    private static final long MEMBERSHIP_LAG_MILLIS = 700;

    private final List<SimulatedNode> nodes = new ArrayList<>();
    private final List<String> liveNodeIds = new ArrayList<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private final SimulatedTime time;
    private final SimulatedStore store;
    private final RandomGenerator random;
    private final JournalOptions options;
    private final InvariantMonitor invariants = new InvariantMonitor(new NoopEventSink());
    private double replyLossShare;
    private int startedNodes;

    /**
     * Creates a fleet.
     *
     * @param time the simulated clock
     * @param store the simulated platform
     * @param random the source of all random choices
     * @param options the size limits and intervals of the journals
     * @param nodeCount the number of nodes
     */
    public SimulatedFleet(
            SimulatedTime time, SimulatedStore store, RandomGenerator random, JournalOptions options, int nodeCount) {
        this.time = time;
        this.store = store;
        this.random = random;
        this.options = options;
        for (int index = 0; index < nodeCount; index++) {
            addNode();
        }
    }

    private SimulatedNode addNode() {
        SimulatedNode node = new SimulatedNode("entry-" + startedNodes++);
        Member self = member(node.nodeId());
        JournalShard.Environment environment = new JournalShard.Environment(
                store.viewOf(node),
                time,
                (delayMillis, task) -> time.schedule(delayMillis, () -> node.deliver(task)),
                random,
                invariants,
                options);
        OwnerClient client = (nodeId, message, timeoutMillis) -> forward(node, nodeId, message, timeoutMillis);
        node.setJournal(new ShardedOperationJournal(new Directory(self), client, environment));
        nodes.add(node);
        liveNodeIds.add(node.nodeId());
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
            return liveNodeIds.stream()
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
            time.schedule(PEER_DELAY_MILLIS, () -> sender.deliver(() -> result.complete(noReply(false))));
            return result;
        }
        SimulatedNode target = receiver.get();
        time.schedule(timeoutMillis, () -> sender.deliver(() -> result.complete(noReply(true))));
        time.schedule(
                PEER_DELAY_MILLIS,
                () -> target.deliver(() -> ((ShardedOperationJournal) target.journal())
                        .handle(message)
                        .thenAccept(reply -> sendReply(sender, result, reply))));
        return result;
    }

    private static OwnerClient.ForwardResult noReply(boolean sent) {
        return new OwnerClient.ForwardResult(sent, Optional.empty());
    }

    private void sendReply(
            SimulatedNode sender, CompletableFuture<OwnerClient.ForwardResult> result, OperationReply reply) {
        if (random.nextDouble() < replyLossShare) {
            return;
        }
        time.schedule(
                PEER_DELAY_MILLIS,
                () -> sender.deliver(() -> result.complete(new OwnerClient.ForwardResult(true, Optional.of(reply)))));
    }

    /**
     * Sets the share of replies between nodes that are lost.
     *
     * @param share the share, from 0 to 1
     */
    public void setReplyLossShare(double share) {
        replyLossShare = share;
    }

    /**
     * Returns a random node that is neither paused nor crashed.
     *
     * @return the node
     */
    public SimulatedNode randomRunningNode() {
        List<SimulatedNode> running =
                nodes.stream().filter(SimulatedNode::isRunning).toList();
        return running.get(random.nextInt(running.size()));
    }

    /** Crashes a random running node and starts another one under a new name. */
    public void crashRandomNode() {
        SimulatedNode node = randomRunningNode();
        node.crash();
        scheduleMembershipRemoval(node);
        addNode();
    }

    /**
     * Pauses a random running node; does nothing if fewer than two nodes run.
     *
     * @param millis the length of the pause in milliseconds
     */
    public void pauseRandomNode(long millis) {
        if (nodes.stream().filter(SimulatedNode::isRunning).count() < 2) {
            return;
        }
        SimulatedNode node = randomRunningNode();
        node.pause();
        scheduleMembershipRemoval(node);
        time.schedule(millis, () -> {
            if (node.hasCrashed()) {
                return;
            }
            node.resume();
            if (!liveNodeIds.contains(node.nodeId())) {
                liveNodeIds.add(node.nodeId());
                listeners.forEach(Runnable::run);
            }
        });
    }

    private void scheduleMembershipRemoval(SimulatedNode node) {
        time.schedule(MEMBERSHIP_LAG_MILLIS, () -> {
            if (!node.isRunning() && liveNodeIds.remove(node.nodeId())) {
                listeners.forEach(Runnable::run);
            }
        });
    }

    /**
     * Returns the invariant monitor that all nodes share.
     *
     * @return the monitor
     */
    public InvariantMonitor invariants() {
        return invariants;
    }

    /**
     * Returns the number of outcomes that nodes which have not crashed hold and that are not durable yet.
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
