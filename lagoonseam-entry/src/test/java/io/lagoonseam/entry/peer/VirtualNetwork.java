package io.lagoonseam.entry.peer;

import io.lagoonseam.core.peer.PeerHandler;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.time.TimeSource;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/** A network between nodes in virtual time: messages take a few milliseconds, or get lost. */
public final class VirtualNetwork {

    private static final int MAX_LATENCY_MILLIS = 4;

    private final Random random;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::number));
    private final Map<String, Node> nodes = new HashMap<>();
    private double lossShare;
    private long nowMillis;
    private long taskNumber;

    private record Task(long atMillis, long number, Runnable action) {}

    /** What one node has of the network. */
    private static final class Node {
        private final Map<Integer, PeerHandler> handlers = new HashMap<>();
        private boolean cut;
        private long messages;
        private long bytes;
    }

    /**
     * Creates a network without nodes.
     *
     * @param random the source of latencies and losses
     */
    public VirtualNetwork(Random random) {
        this.random = random;
    }

    /** Returns the clocks, which all nodes share. */
    public TimeSource time() {
        return new TimeSource() {
            @Override
            public long monotonicNanos() {
                return TimeUnit.MILLISECONDS.toNanos(nowMillis);
            }

            @Override
            public long wallMillis() {
                return nowMillis;
            }
        };
    }

    /**
     * Sets how many messages get lost.
     *
     * @param share the share, 0 to 1
     */
    public void lose(double share) {
        lossShare = share;
    }

    /**
     * Cuts a node off from all others, or ends that.
     *
     * @param id the id of the node
     * @param cut whether it is cut off
     */
    public void cut(String id, boolean cut) {
        nodes.get(id).cut = cut;
    }

    /**
     * Adds a node.
     *
     * @param id its id
     * @return its transport
     */
    public PeerTransport add(String id) {
        Node node = new Node();
        nodes.put(id, node);
        return new PeerTransport() {
            @Override
            public CompletionStage<PeerReply> request(String to, int type, byte[] payload, long timeoutMillis) {
                return send(id, to, type, payload, timeoutMillis);
            }

            @Override
            public void register(int messageType, PeerHandler handler) {
                node.handlers.put(messageType, handler);
            }
        };
    }

    /** Returns the number of messages that a node has sent, answers included. */
    public long messages(String id) {
        return nodes.get(id).messages;
    }

    /** Returns the number of bytes in the messages that a node has sent, answers included. */
    public long bytes(String id) {
        return nodes.get(id).bytes;
    }

    /**
     * Runs an action later.
     *
     * @param delayMillis how much later, in milliseconds
     * @param action the action
     */
    public void after(long delayMillis, Runnable action) {
        taskNumber++;
        tasks.add(new Task(nowMillis + delayMillis, taskNumber, action));
    }

    /**
     * Runs all actions up to a time.
     *
     * @param untilMillis the time, in milliseconds
     */
    public void run(long untilMillis) {
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= untilMillis) {
            Task task = tasks.poll();
            nowMillis = task.atMillis();
            task.action().run();
        }
        nowMillis = untilMillis;
    }

    private CompletionStage<PeerReply> send(String from, String to, int type, byte[] payload, long timeoutMillis) {
        CompletableFuture<PeerReply> reply = new CompletableFuture<>();
        after(timeoutMillis, () -> reply.complete(new PeerReply.Unknown("no answer in time")));
        transfer(
                from,
                to,
                payload,
                () -> nodes.get(to)
                        .handlers
                        .get(type)
                        .handle(from, payload)
                        .thenAccept(answer ->
                                transfer(to, from, answer, () -> reply.complete(new PeerReply.Answered(answer)))));
        return reply;
    }

    private void transfer(String from, String to, byte[] payload, Runnable onArrival) {
        Node sender = nodes.get(from);
        sender.messages++;
        sender.bytes += payload.length;
        boolean lost = sender.cut || random.nextDouble() < lossShare;
        if (!lost) {
            after(1 + random.nextInt(MAX_LATENCY_MILLIS), () -> {
                if (!nodes.get(to).cut) {
                    onArrival.run();
                }
            });
        }
    }
}
