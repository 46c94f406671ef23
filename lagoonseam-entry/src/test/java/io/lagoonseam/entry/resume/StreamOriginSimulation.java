package io.lagoonseam.entry.resume;

import io.lagoonseam.core.peer.PeerHandler;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.resume.ServiceWindow;
import io.lagoonseam.core.resume.StreamKey;
import io.lagoonseam.core.resume.StreamOrigin;
import io.lagoonseam.core.resume.VersionHistory.Versions;
import io.lagoonseam.core.time.TimeSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/**
 * Nodes with the real exchange in virtual time: they die, are replaced, and are cut off from the others, while callers
 * begin streams and take them up at other nodes. There is no store.
 */
final class StreamOriginSimulation {

    private static final long LIFETIME_MILLIS = 30_000;
    private static final int MAX_LATENCY_MILLIS = 15;

    /** How long the others go on ranking a node that is gone, or do not know a new one, in milliseconds. */
    private static final int MAX_VIEW_LAG_MILLIS = 2_000;

    private final Random random;
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long nowMillis;
    private long taskNumber;
    private int known;
    private int unknown;
    private int wrong;
    private long messages;

    private record Task(long atMillis, long number, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime == 0 ? Long.compare(number, other.number) : byTime;
        }
    }

    /** What callers found when they took streams up, and the messages that nodes sent. */
    record Result(int known, int unknown, int wrong, long messages) {}

    /** One place for a node; a node that is replaced has a new id. */
    private final class Node {
        private final Map<Integer, PeerHandler> handlers = new HashMap<>();
        private final List<String> view = new ArrayList<>();
        private String id;
        private StreamOriginExchange exchange;
        private boolean up;
        private boolean cut;
        private long life;

        void start(String newId) {
            life++;
            id = newId;
            up = true;
            handlers.clear();
            view.clear();
            nodes.stream().filter(node -> node.id != null && !node.equals(this)).forEach(node -> view.add(node.id));
            exchange = new StreamOriginExchange(new StreamOriginExchange.Environment(
                    time(),
                    transport(),
                    Runnable::run,
                    this::schedule,
                    () -> List.copyOf(view),
                    () -> true,
                    window -> new Versions(false, Set.of()),
                    service -> CompletableFuture.completedFuture(Optional.empty())));
            for (Node other : nodes) {
                if (!other.equals(this)) {
                    after(random.nextInt(MAX_VIEW_LAG_MILLIS), () -> other.learn(newId));
                }
            }
        }

        private void learn(String newId) {
            if (!view.contains(newId)) {
                view.add(newId);
            }
        }

        void stop(boolean planned) {
            if (planned) {
                exchange.handOver();
            }
            String gone = id;
            for (Node other : nodes) {
                if (planned && !other.equals(this)) {
                    after(random.nextInt(MAX_VIEW_LAG_MILLIS), () -> other.view.remove(gone));
                }
            }
            after(planned ? 50 : 0, () -> up = false);
        }

        private void schedule(long delayMillis, Runnable task) {
            long scheduledIn = life;
            after(delayMillis, () -> {
                if (up && life == scheduledIn) {
                    task.run();
                }
            });
        }

        private PeerTransport transport() {
            return new PeerTransport() {
                @Override
                public CompletionStage<PeerReply> request(String to, int type, byte[] payload, long timeoutMillis) {
                    return send(Node.this, to, type, payload, timeoutMillis);
                }

                @Override
                public void register(int messageType, PeerHandler handler) {
                    handlers.put(messageType, handler);
                }
            };
        }
    }

    StreamOriginSimulation(int nodeCount, long seed) {
        this.random = new Random(seed);
        for (int index = 0; index < nodeCount; index++) {
            nodes.add(new Node());
        }
        nodes.forEach(node -> node.start("n" + nodes.indexOf(node)));
    }

    private TimeSource time() {
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

    private void after(long delayMillis, Runnable action) {
        taskNumber++;
        tasks.add(new Task(nowMillis + delayMillis, taskNumber, action));
    }

    private CompletionStage<PeerReply> send(Node from, String to, int type, byte[] payload, long timeoutMillis) {
        messages++;
        CompletableFuture<PeerReply> reply = new CompletableFuture<>();
        long sentIn = from.life;
        Optional<Node> receiver =
                nodes.stream().filter(node -> to.equals(node.id)).findFirst();
        after(timeoutMillis, () -> reply.complete(new PeerReply.Unknown("no answer in time")));
        boolean reachable = receiver.isPresent() && !from.cut && !receiver.get().cut;
        if (!reachable) {
            return reply;
        }
        Node node = receiver.get();
        after(1 + random.nextInt(MAX_LATENCY_MILLIS), () -> {
            if (!node.up || !to.equals(node.id)) {
                after(1, () -> reply.complete(new PeerReply.NotSent("refused")));
                return;
            }
            node.handlers.get(type).handle(from.id, payload).thenAccept(answer -> {
                after(1 + random.nextInt(MAX_LATENCY_MILLIS), () -> {
                    if (!node.cut && !from.cut && from.up && from.life == sentIn) {
                        reply.complete(new PeerReply.Answered(answer));
                    }
                });
            });
        });
        return reply;
    }

    private List<Node> serving() {
        return nodes.stream().filter(node -> node.up).toList();
    }

    /** Begins a stream whose connection breaks after some time, or with its node, and takes it up twice. */
    void beginStream(int number) {
        List<Node> serving = serving();
        if (serving.isEmpty()) {
            return;
        }
        Node node = serving.get(random.nextInt(serving.size()));
        StreamKey stream = new StreamKey("w", "s" + number);
        StreamOrigin origin = new StreamOrigin("llm", "v" + random.nextInt(3));
        node.exchange.began(stream, origin, LIFETIME_MILLIS);
        watch(stream, origin, node, node.life, nowMillis + 50 + random.nextInt(4_000), 2);
    }

    private void watch(StreamKey stream, StreamOrigin origin, Node node, long life, long breaksMillis, int tries) {
        boolean died = !node.up || node.life != life;
        if (tries > 0 && (died || nowMillis >= breaksMillis)) {
            after(10 + random.nextInt(300), () -> takeUp(stream, origin, tries));
        } else if (tries > 0) {
            after(20, () -> watch(stream, origin, node, life, breaksMillis, tries));
        }
    }

    private void takeUp(StreamKey stream, StreamOrigin origin, int tries) {
        List<Node> serving = serving();
        if (serving.isEmpty()) {
            return;
        }
        Node node = serving.get(random.nextInt(serving.size()));
        node.exchange
                .find(stream, new ServiceWindow("", "llm", LIFETIME_MILLIS))
                .thenAccept(found -> {
                    if (found.isEmpty()) {
                        unknown++;
                        return;
                    }
                    if (found.get().equals(origin)) {
                        known++;
                    } else {
                        wrong++;
                    }
                    node.exchange.began(stream, found.get(), LIFETIME_MILLIS);
                    watch(stream, origin, node, node.life, nowMillis + 50 + random.nextInt(4_000), tries - 1);
                });
    }

    /** Begins a number of streams a second for some time, once the nodes know each other. */
    void load(int streamsPerSecond, long forMillis) {
        int count = (int) (streamsPerSecond * forMillis / 1_000);
        for (int number = 0; number < count; number++) {
            int stream = number;
            after(MAX_VIEW_LAG_MILLIS + (long) number * forMillis / count, () -> beginStream(stream));
        }
    }

    /** Replaces one node after the other by a new one. */
    void replaceEach(long gapMillis, boolean planned) {
        for (int index = 0; index < nodes.size(); index++) {
            Node node = nodes.get(index);
            String newId = "r" + index;
            after(1_000 + index * gapMillis, () -> {
                node.stop(planned);
                after(400, () -> node.start(newId));
            });
        }
    }

    /** Ends a share of the nodes at the same moment; they start again with their ids and without memory. */
    void killTogether(double share, long atMillis) {
        after(atMillis, () -> {
            for (Node node : nodes) {
                if (random.nextDouble() < share) {
                    node.stop(false);
                    after(800, () -> node.start(node.id));
                }
            }
        });
    }

    /** Cuts a share of the nodes off from all others for a while, then ends them. */
    void cutOffAndEnd(double share, long atMillis, long forMillis) {
        for (Node node : nodes) {
            if (random.nextDouble() < share) {
                after(atMillis, () -> node.cut = true);
                after(atMillis + forMillis, () -> node.cut = false);
                after(atMillis + forMillis + 700, () -> node.stop(false));
            }
        }
    }

    Result run(long untilMillis) {
        while (!tasks.isEmpty() && tasks.peek().atMillis <= untilMillis) {
            Task task = tasks.poll();
            nowMillis = task.atMillis;
            task.action.run();
        }
        return new Result(known, unknown, wrong, messages);
    }

    /** Returns the largest number of streams that a node remembers. */
    int mostRemembered() {
        return nodes.stream().mapToInt(node -> node.exchange.size()).max().orElse(0);
    }
}
