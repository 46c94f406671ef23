package io.lagoonseam.entry.quarantine;

import io.lagoonseam.core.peer.PeerHandler;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.quarantine.Suspect;
import io.lagoonseam.core.ratelimit.WorkerIncarnation;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.wire.MessageTypes;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Nodes with the real exchange in virtual time before workers that crash under requests with one suspect, and that lose
 * all other requests then. Nodes die, are replaced and are cut off meanwhile. There is no store.
 */
final class CrashSimulation {

    static final long CONTACT_MILLIS = 3_000;

    private static final int MAX_LATENCY_MILLIS = 15;
    private static final int MAX_VIEW_LAG_MILLIS = 2_000;
    private static final long DOWN_MILLIS = 3_000;
    private static final int TICK_MILLIS = 250;

    /** The time from which on sound requests are counted; what crashes workers is known by then. */
    private static final long SOUND_FROM_MILLIS = 15_000;

    private final Random random;
    private final Suspect guiltySuspect;
    private final int crashesToTell;
    private final List<Node> nodes = new ArrayList<>();
    private final List<Worker> workers = new ArrayList<>();
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long nowMillis;
    private long taskNumber;
    private long told;
    private int crashes;
    private long toldMillis = Long.MAX_VALUE / 2;
    private int sentLate;
    private int soundLate;
    private int soundSentLate;

    private record Task(long atMillis, long number, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime == 0 ? Long.compare(number, other.number) : byTime;
        }
    }

    /**
     * What the workers saw.
     *
     * @param crashes the number of crashes
     * @param sentLate the requests with the guilty suspect that nodes in touch sent after these crashes and the time to
     *     tell
     * @param soundLate the sound requests that came to nodes in touch once what crashes workers was known
     * @param soundSentLate those of them that were sent
     */
    record Result(int crashes, int sentLate, int soundLate, int soundSentLate) {}

    private final class Sent {
        private final Node node;
        private final long nodeLife;
        private final Set<Suspect> suspects;
        private final long caller;
        private final long sentMillis;

        Sent(Node node, Set<Suspect> suspects, long caller) {
            this.caller = caller;
            this.sentMillis = nowMillis;
            this.node = node;
            this.nodeLife = node.life;
            this.suspects = suspects;
        }
    }

    private final class Worker {
        private final String name;
        private final Set<Sent> inFlight = new HashSet<>();
        private long life;
        private boolean up = true;

        Worker(String name) {
            this.name = name;
        }

        void take(Sent sent) {
            inFlight.add(sent);
            long beganLife = life;
            long beginMillis = 30L + random.nextInt(600);
            after(beginMillis, () -> {
                if (life != beganLife || !inFlight.contains(sent)) {
                    return;
                }
                if (sent.suspects.contains(guiltySuspect)) {
                    crash();
                    return;
                }
                long began = nowMillis;
                after(100 + random.nextInt(3_000), () -> {
                    if (life == beganLife && inFlight.remove(sent) && sent.node.holds(sent)) {
                        sent.node.exchange.answered(sent.suspects, began);
                    }
                });
            });
        }

        private void crash() {
            WorkerIncarnation ended = new WorkerIncarnation("llm", name, life);
            life++;
            up = false;
            crashes++;
            if (crashes == crashesToTell) {
                toldMillis = nowMillis;
            }
            List<Sent> lost = List.copyOf(inFlight);
            inFlight.clear();
            for (Sent sent : lost) {
                after(1 + random.nextInt(20), () -> {
                    if (sent.node.holds(sent)) {
                        sent.node.exchange.crashed(sent.suspects, sent.caller, ended, sent.sentMillis);
                    }
                });
            }
            after(DOWN_MILLIS, () -> up = true);
        }
    }

    /** One place for a node; a node that is replaced has a new id. */
    private final class Node {
        private final Map<Integer, PeerHandler> handlers = new HashMap<>();
        private final List<String> view = new ArrayList<>();
        private String id;
        private QuarantineExchange exchange;
        private boolean up;
        private boolean cut;
        private long life;
        private long calmSinceMillis;

        void start(String newId) {
            life++;
            id = newId;
            up = true;
            calmSinceMillis = nowMillis;
            handlers.clear();
            view.clear();
            nodes.stream().filter(node -> node.id != null && !node.equals(this)).forEach(node -> view.add(node.id));
            exchange = new QuarantineExchange(new QuarantineExchange.Environment(
                    time(),
                    transport(),
                    Runnable::run,
                    this::schedule,
                    new Random(random.nextLong()),
                    newId,
                    () -> List.copyOf(view),
                    new QuarantineExchange.Listener() {
                        @Override
                        public void onQuarantined(Suspect suspect, int counted) {
                            // the workers are watched instead
                        }

                        @Override
                        public void onReleased(Suspect suspect) {
                            // the workers are watched instead
                        }
                    }));
            tick();
            for (Node other : nodes) {
                if (!other.equals(this)) {
                    after(random.nextInt(MAX_VIEW_LAG_MILLIS), () -> other.learn(newId));
                }
            }
        }

        private void tick() {
            exchange.tick();
            schedule(TICK_MILLIS, this::tick);
        }

        private void learn(String newId) {
            if (!view.contains(newId)) {
                view.add(newId);
            }
        }

        boolean inTouch() {
            return up && !cut && nowMillis - calmSinceMillis >= CONTACT_MILLIS;
        }

        boolean holds(Sent sent) {
            return up && life == sent.nodeLife;
        }

        void stop(boolean planned) {
            calmSinceMillis = Long.MAX_VALUE / 2;
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

        /** Sends a request to a worker unless the quarantine holds it. */
        void receive(Set<Suspect> suspects, long caller) {
            boolean guilty = suspects.contains(guiltySuspect);
            if (!guilty && inTouch() && nowMillis >= SOUND_FROM_MILLIS) {
                soundLate++;
            }
            Set<Suspect> held = exchange.inForce(suspects);
            long receivedIn = life;
            if (held.isEmpty()) {
                sendToWorker(suspects, caller);
            } else {
                exchange.tryOnce(held, caller).thenAccept(allowed -> {
                    if (allowed && up && life == receivedIn) {
                        sendToWorker(suspects, caller);
                    }
                });
            }
        }

        private void sendToWorker(Set<Suspect> suspects, long caller) {
            List<Worker> serving = workers.stream().filter(worker -> worker.up).toList();
            if (serving.isEmpty()) {
                return;
            }
            if (suspects.contains(guiltySuspect)) {
                sentLate += inTouch() && nowMillis > toldMillis + CONTACT_MILLIS ? 1 : 0;
            } else if (inTouch() && nowMillis >= SOUND_FROM_MILLIS) {
                soundSentLate++;
            }
            serving.get(random.nextInt(serving.size())).take(new Sent(this, suspects, caller));
        }
    }

    /**
     * Creates nodes and workers.
     *
     * @param nodeCount the number of nodes
     * @param workerCount the number of workers
     * @param guilty the suspect under which workers crash
     * @param crashesToTell the number of crashes after which all nodes have to know it
     * @param seed the seed of all random numbers
     */
    CrashSimulation(int nodeCount, int workerCount, Suspect guilty, int crashesToTell, long seed) {
        this.guiltySuspect = guilty;
        this.crashesToTell = crashesToTell;
        this.random = new Random(seed);
        for (int index = 0; index < workerCount; index++) {
            workers.add(new Worker("w" + index));
        }
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
        told += type == MessageTypes.QUARANTINE ? 1 : 0;
        CompletableFuture<PeerReply> reply = new CompletableFuture<>();
        long sentIn = from.life;
        Optional<Node> receiver =
                nodes.stream().filter(node -> to.equals(node.id)).findFirst();
        after(timeoutMillis, () -> complete(from, sentIn, reply, new PeerReply.Unknown("no answer in time")));
        if (receiver.isEmpty() || from.cut || receiver.get().cut) {
            return reply;
        }
        Node node = receiver.get();
        after(1 + random.nextInt(MAX_LATENCY_MILLIS), () -> {
            if (!node.up || !to.equals(node.id)) {
                after(1, () -> complete(from, sentIn, reply, new PeerReply.NotSent("refused")));
                return;
            }
            node.handlers.get(type).handle(from.id, payload).thenAccept(answer -> {
                after(1 + random.nextInt(MAX_LATENCY_MILLIS), () -> {
                    if (!node.cut && !from.cut) {
                        complete(from, sentIn, reply, new PeerReply.Answered(answer));
                    }
                });
            });
        });
        return reply;
    }

    private static void complete(Node from, long sentIn, CompletableFuture<PeerReply> reply, PeerReply value) {
        if (from.up && from.life == sentIn) {
            reply.complete(value);
        }
    }

    /**
     * Has requests come to random nodes for some time.
     *
     * @param perSecond the requests a second
     * @param fromMillis the time of the first
     * @param untilMillis the time of the last
     * @param draw draws the suspects of a request
     */
    void load(double perSecond, long fromMillis, long untilMillis, Function<Random, Set<Suspect>> draw) {
        load(perSecond, fromMillis, untilMillis, 1, draw);
    }

    /**
     * Has requests of one caller come to random nodes for some time.
     *
     * @param perSecond the requests a second
     * @param fromMillis the time of the first
     * @param untilMillis the time of the last
     * @param caller the caller
     * @param draw draws the suspects of a request
     */
    void load(double perSecond, long fromMillis, long untilMillis, long caller, Function<Random, Set<Suspect>> draw) {
        int count = (int) (perSecond * (untilMillis - fromMillis) / 1_000);
        for (int number = 0; number < count; number++) {
            after(fromMillis + (long) (number * 1_000 / perSecond), () -> {
                List<Node> serving = nodes.stream().filter(node -> node.up).toList();
                if (!serving.isEmpty()) {
                    serving.get(random.nextInt(serving.size())).receive(draw.apply(random), caller);
                }
            });
        }
    }

    /** Ends workers at once, which had nothing to do with their requests. */
    void crashWorkers(int count, long atMillis) {
        after(
                atMillis,
                () -> workers.stream().filter(worker -> worker.up).limit(count).forEach(Worker::crash));
    }

    /** Replaces one node after the other by a new one. */
    void replaceEach(long fromMillis, long gapMillis, boolean planned) {
        for (int index = 0; index < nodes.size(); index++) {
            Node node = nodes.get(index);
            String newId = "r" + index;
            after(fromMillis + index * gapMillis, () -> {
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

    /** Cuts a share of the nodes off from all others for a while; they still reach the workers. */
    void cutOff(double share, long atMillis, long forMillis) {
        for (Node node : nodes) {
            if (random.nextDouble() < share) {
                after(atMillis, () -> node.cut = true);
                after(atMillis + forMillis, () -> {
                    node.cut = false;
                    node.calmSinceMillis = nowMillis;
                });
            }
        }
    }

    Result run(long untilMillis) {
        while (!tasks.isEmpty() && tasks.peek().atMillis <= untilMillis) {
            Task task = tasks.poll();
            nowMillis = task.atMillis;
            task.action.run();
        }
        return new Result(crashes, sentLate, soundLate, soundSentLate);
    }

    /** Returns the number of nodes at which a suspect is in quarantine. */
    long holding(Suspect suspect) {
        return nodes.stream()
                .filter(node -> node.up)
                .filter(node -> !node.exchange.inForce(Set.of(suspect)).isEmpty())
                .count();
    }

    /** Returns the number of messages so far that tell what is in quarantine. */
    long told() {
        return told;
    }

    /** Returns the largest number of suspects that a node has in quarantine. */
    int mostHeld() {
        return nodes.stream().mapToInt(node -> node.exchange.size()).max().orElse(0);
    }
}
