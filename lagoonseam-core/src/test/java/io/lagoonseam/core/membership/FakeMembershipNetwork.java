package io.lagoonseam.core.membership;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.peer.PeerHandler;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.time.ManualTimeSource;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Member directories of one data centre on a virtual clock, over a network that can lose, delay and partition messages.
 */
final class FakeMembershipNetwork {

    private static final long TICK_MILLIS = 50;
    private static final String DATA_CENTRE = "a";
    private static final String HOST = "h";

    private final ManualTimeSource time = new ManualTimeSource();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private final Map<String, Node> nodes = new TreeMap<>();
    private final List<MembershipMessage> messages = new ArrayList<>();
    private final Random random;
    private long sequence;
    private long delivered;
    private double lossShare;
    private long delayLimitMillis = 20;
    private int starts;

    FakeMembershipNetwork(long seed) {
        this.random = new Random(seed);
    }

    private record Event(long atMillis, long sequence, Runnable action) {}

    /** One node process. A restart creates a new instance with the same id. */
    final class Node implements PeerTransport {

        private final String nodeId;
        private final int port;
        private final DefaultMemberDirectory directory;
        private final Map<Integer, PeerHandler> handlers = new HashMap<>();
        private final List<String> log = new ArrayList<>();
        private boolean up = true;
        private int partition;
        private long pausedUntilMillis;

        private Node(String nodeId, int port) {
            this.nodeId = nodeId;
            this.port = port;
            Member self = new Member(nodeId, DATA_CENTRE, HOST, port, 1, MemberState.ALIVE);
            this.directory = new DefaultMemberDirectory(
                    self,
                    new MembershipEnvironment(
                            this,
                            new IndexCodec(),
                            new PiggybackRegistry(),
                            time,
                            new Random(random.nextLong()),
                            this::recordEvent,
                            MembershipTimings.standard()));
        }

        private void recordEvent(EventCode code, String detail) {
            log.add(time.monotonicMillis() + " " + code + " " + detail);
        }

        DefaultMemberDirectory directory() {
            return directory;
        }

        List<String> liveIds() {
            return directory.liveMembers().stream().map(Member::nodeId).toList();
        }

        List<String> log() {
            return log;
        }

        boolean up() {
            return up;
        }

        void pause(long millis) {
            pausedUntilMillis = time.monotonicMillis() + millis;
        }

        void partition(int value) {
            partition = value;
        }

        private void tick() {
            if (up) {
                directory.tick();
                runAtNode(this, TICK_MILLIS, this::tick);
            }
        }

        @Override
        public CompletionStage<PeerReply> request(String receiverId, int type, byte[] payload, long timeoutMillis) {
            CompletableFuture<PeerReply> reply = new CompletableFuture<>();
            runAtNode(this, timeoutMillis, () -> reply.complete(new PeerReply.Unknown("timeout")));
            Node receiver = nodes.get(receiverId);
            transmit(this, receiver, () -> {
                PeerHandler handler = receiver.handlers.get(type);
                if (handler == null) {
                    return;
                }
                handler.handle(nodeId, payload)
                        .thenAccept(answer ->
                                transmit(receiver, this, () -> reply.complete(new PeerReply.Answered(answer))));
            });
            return reply;
        }

        @Override
        public void register(int messageType, PeerHandler handler) {
            handlers.put(messageType, handler);
        }
    }

    /** Codec that encodes a message as its index in the list of all messages. */
    private final class IndexCodec implements MembershipCodec {

        @Override
        public byte[] encode(MembershipMessage message) {
            messages.add(message);
            return ByteBuffer.allocate(Integer.BYTES)
                    .putInt(messages.size() - 1)
                    .array();
        }

        @Override
        public MembershipMessage decode(byte[] encoded) {
            return messages.get(ByteBuffer.wrap(encoded).getInt());
        }
    }

    private void schedule(long delayMillis, Runnable action) {
        sequence++;
        events.add(new Event(time.monotonicMillis() + delayMillis, sequence, action));
    }

    /** Runs an action at a node after a delay: later if the node is paused at that time, never if it is down. */
    private void runAtNode(Node node, long delayMillis, Runnable action) {
        schedule(delayMillis, () -> {
            long pausedMillis = node.pausedUntilMillis - time.monotonicMillis();
            if (pausedMillis > 0) {
                runAtNode(node, pausedMillis, action);
            } else if (node.up) {
                action.run();
            }
        });
    }

    private void transmit(Node sender, Node receiver, Runnable action) {
        if (receiver == null || sender.partition != receiver.partition || random.nextDouble() < lossShare) {
            return;
        }
        delivered++;
        runAtNode(receiver, 1 + random.nextLong(delayLimitMillis), action);
    }

    Node start(String nodeId) {
        starts++;
        Node node = new Node(nodeId, starts);
        nodes.put(nodeId, node);
        node.directory.open(node.port);
        List<Node> contacts = nodes.values().stream()
                .filter(other -> other.up && !other.nodeId.equals(nodeId))
                .toList();
        if (!contacts.isEmpty()) {
            join(node, contacts, 0);
        }
        node.tick();
        return node;
    }

    private void join(Node node, List<Node> contacts, int attempt) {
        Node contact = contacts.get(random.nextInt(contacts.size()));
        Member member = contact.directory.self();
        node.directory.exchange(member).thenAccept(answered -> {
            if (!answered && attempt < 20) {
                runAtNode(node, 200, () -> join(node, contacts, attempt + 1));
            }
        });
    }

    void crash(Node node) {
        node.up = false;
    }

    void leave(Node node) {
        node.directory.leave();
        runAtNode(node, 1_000, () -> crash(node));
    }

    void lossShare(double value) {
        lossShare = value;
    }

    void delayLimitMillis(long value) {
        delayLimitMillis = value;
    }

    List<Node> upNodes() {
        return nodes.values().stream().filter(Node::up).toList();
    }

    Map<String, Node> nodes() {
        return nodes;
    }

    long nowMillis() {
        return time.monotonicMillis();
    }

    long delivered() {
        return delivered;
    }

    void run(long millis) {
        long endMillis = time.monotonicMillis() + millis;
        while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
            Event event = events.poll();
            time.advanceMillis(event.atMillis() - time.monotonicMillis());
            event.action().run();
        }
        time.advanceMillis(endMillis - time.monotonicMillis());
    }
}
