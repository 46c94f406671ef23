package io.lagoonseam.entry.ratelimit;

import io.lagoonseam.core.peer.PeerHandler;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.placement.HomeRanking;
import io.lagoonseam.core.ratelimit.AnnouncedLimits;
import io.lagoonseam.core.ratelimit.IssuerStanding;
import io.lagoonseam.core.ratelimit.LimitReport;
import io.lagoonseam.core.ratelimit.Permit;
import io.lagoonseam.core.ratelimit.WorkerIncarnation;
import io.lagoonseam.core.time.TimeSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/**
 * Nodes that send requests to one worker with a rate limit, in virtual time. Messages take a few milliseconds; nodes
 * may freeze, restart, stop or be cut off, and learn late of each other and of the limit.
 */
final class PermitSimulation {

    static final WorkerIncarnation WORKER = new WorkerIncarnation("app", "w1", 1);

    private static final long TICK_MILLIS = 10;
    private static final long MAX_MESSAGE_MILLIS = 12;
    private static final long MAX_CONNECT_MILLIS = 60;
    private static final long MAX_VIEW_LAG_MILLIS = 1_500;
    private static final long REQUEST_WAIT_MILLIS = 300;
    /** How long a node has to know a limit before its requests count, in milliseconds. */
    private static final long TOLD_MILLIS = 500;

    private static final long EXCHANGE_MILLIS = 250;
    private static final long ALIVE_MILLIS = 4_000;
    private static final int MAX_NODES_WITH_LIVENESS = 9;

    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private final List<Node> nodes = new ArrayList<>();
    private final List<Send> sends = new ArrayList<>();
    private final double demandPerTick;
    private double limitPerSecond;
    private boolean limited = true;
    private long nowMillis;
    private long lastEvent;

    private record Event(long atMillis, long number, Runnable action) {}

    /**
     * A request that reached the worker.
     *
     * @param atMillis the time
     * @param told whether its node has known the limit for half a second
     */
    record Send(long atMillis, boolean told) {}

    /** One node; a restart replaces its state. */
    private final class Node {
        private final int index;
        private final Map<Integer, PeerHandler> handlers = new TreeMap<>();
        private final Map<Integer, Long> lastHeardMillis = new TreeMap<>();
        private final Deque<Runnable> held = new ArrayDeque<>();
        private AnnouncedLimits limits;
        private IssuerStanding standing;
        private PermitServer server;
        private PermitClient client;
        private long life;
        private long suspendedMillis;
        private long suspendedSinceMillis;
        private boolean up;
        private boolean registered;
        private boolean frozen;
        private boolean cut;
        private long toldMillis;
        private final Deque<Long> waitingUntilMillis = new ArrayDeque<>();

        Node(int index) {
            this.index = index;
        }

        private String id() {
            return "n" + index;
        }

        /** The clocks of a VM that may be suspended: the monotonic clock does not count that time. */
        private TimeSource time() {
            return new TimeSource() {
                @Override
                public long monotonicNanos() {
                    return TimeUnit.MILLISECONDS.toNanos(nowMillis - suspendedMillis);
                }

                @Override
                public long wallMillis() {
                    return 1_700_000_000_000L + nowMillis;
                }
            };
        }

        private long ownMillis() {
            return nowMillis - suspendedMillis;
        }

        void start() {
            life++;
            up = true;
            handlers.clear();
            held.clear();
            waitingUntilMillis.clear();
            toldMillis = Long.MAX_VALUE;
            limits = new AnnouncedLimits();
            standing = new IssuerStanding(id(), HomeRanking::rank, ownMillis());
            PeerTransport transport = transport(this);
            server = new PermitServer(time(), transport, limits, standing, this::learn);
            client = new PermitClient(
                    new PermitClient.Environment(time(), transport, id(), this::execute),
                    server,
                    limits,
                    standing,
                    this::learn);
            nodes.forEach(node -> lastHeardMillis.put(node.index, nowMillis));
            register(true);
            long lifeNow = life;
            after(random.nextInt((int) TICK_MILLIS), () -> tick(lifeNow));
        }

        private void register(boolean value) {
            registered = value;
            for (Node node : nodes) {
                long lag = node.index == index ? 0 : random.nextLong(MAX_VIEW_LAG_MILLIS);
                after(lag, () -> node.see(this, value));
            }
        }

        private final Map<Integer, Boolean> seen = new TreeMap<>();

        private void see(Node node, boolean value) {
            seen.put(node.index, value);
        }

        private void learn(LimitReport report) {
            limits.apply(report, ownMillis());
        }

        private void execute(Runnable task) {
            if (frozen) {
                held.add(task);
            } else if (up) {
                task.run();
            }
        }

        private void tick(long ofLife) {
            if (!up || life != ofLife) {
                return;
            }
            after(TICK_MILLIS, () -> tick(ofLife));
            if (frozen) {
                return;
            }
            server.tick();
            if (nowMillis % EXCHANGE_MILLIS < TICK_MILLIS) {
                exchange();
            }
            if (random.nextDouble() < demandPerTick) {
                waitingUntilMillis.add(nowMillis + REQUEST_WAIT_MILLIS);
            }
            while (!waitingUntilMillis.isEmpty() && waitingUntilMillis.peek() < nowMillis) {
                waitingUntilMillis.remove();
            }
            while (!waitingUntilMillis.isEmpty() && client.available(WORKER, random.nextInt(3))) {
                waitingUntilMillis.remove();
                Permit permit = client.take(WORKER);
                long connectMillis = random.nextLong(MAX_CONNECT_MILLIS);
                after(connectMillis, () -> runIfSame(ofLife, () -> send(permit)));
            }
        }

        private void runIfSame(long ofLife, Runnable task) {
            if (up && life == ofLife) {
                execute(task);
            }
        }

        private void exchange() {
            Map<String, Integer> known = new TreeMap<>();
            for (Node node : nodes) {
                boolean silent = nodes.size() <= MAX_NODES_WITH_LIVENESS
                        && nowMillis - lastHeardMillis.get(node.index) > ALIVE_MILLIS;
                if (node.index == index ? registered : seen.getOrDefault(node.index, false) && !silent) {
                    known.put(node.id(), 750);
                }
            }
            standing.nodes(known, ownMillis());
            for (int count = 0; count < Math.min(8, nodes.size()); count++) {
                Node peer = nodes.get((index + 1 + random.nextInt(nodes.size())) % nodes.size());
                List<LimitReport> reports = limits.reports(ownMillis());
                deliver(this, peer, () -> {
                    peer.lastHeardMillis.put(index, nowMillis);
                    reports.forEach(peer::learn);
                });
            }
        }

        private void told() {
            toldMillis = Math.min(toldMillis, nowMillis);
        }

        private void send(Permit permit) {
            if (!permit.valid(time())) {
                return;
            }
            sends.add(new Send(nowMillis, nowMillis >= toldMillis + TOLD_MILLIS));
            long sentMillis = ownMillis();
            long ofLife = life;
            double named = limitPerSecond;
            boolean names = limited;
            after(
                    20,
                    () -> runIfSame(ofLife, () -> {
                        if (names) {
                            limits.recordNamed(WORKER, named, ownMillis());
                        } else {
                            limits.recordNone(WORKER, sentMillis);
                        }
                    }));
        }
    }

    PermitSimulation(long seed, int nodeCount, double limitPerSecond, double demandPerSecondAndNode) {
        this.random = new Random(seed);
        this.limitPerSecond = limitPerSecond;
        this.demandPerTick = demandPerSecondAndNode * TICK_MILLIS / TimeUnit.SECONDS.toMillis(1);
        for (int index = 0; index < nodeCount; index++) {
            nodes.add(new Node(index));
        }
        for (Node node : nodes) {
            after(random.nextInt(300), node::start);
        }
    }

    void after(long millis, Runnable action) {
        lastEvent++;
        events.add(new Event(nowMillis + millis, lastEvent, action));
    }

    private void deliver(Node from, Node to, Runnable action) {
        long ofLife = to.life;
        after(1 + random.nextLong(MAX_MESSAGE_MILLIS), () -> {
            if (!from.cut && !to.cut && to.up && to.life == ofLife) {
                to.execute(action);
            }
        });
    }

    private PeerTransport transport(Node from) {
        return new PeerTransport() {
            @Override
            public CompletionStage<PeerReply> request(String nodeId, int type, byte[] payload, long timeoutMillis) {
                CompletableFuture<PeerReply> reply = new CompletableFuture<>();
                Node to = nodes.get(Integer.parseInt(nodeId.substring(1)));
                after(timeoutMillis, () -> reply.complete(new PeerReply.Unknown("no reply in time")));
                deliver(
                        from,
                        to,
                        () -> to.handlers
                                .get(type)
                                .handle(from.id(), payload)
                                .thenAccept(answer ->
                                        deliver(to, from, () -> reply.complete(new PeerReply.Answered(answer)))));
                return reply;
            }

            @Override
            public void register(int type, PeerHandler handler) {
                from.handlers.put(type, handler);
            }
        };
    }

    void runUntil(long endMillis) {
        while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.action().run();
        }
        nowMillis = endMillis;
    }

    /** Lets each node know the limit, as if each had received an answer. */
    void tellAll() {
        for (Node node : nodes) {
            if (node.up) {
                node.told();
                node.limits.recordNamed(WORKER, limitPerSecond, node.ownMillis());
            }
        }
    }

    void setLimit(double perSecond) {
        limited = true;
        limitPerSecond = perSecond;
    }

    void endLimit() {
        limited = false;
    }

    /** Freezes a node; {@code suspended} if its monotonic clock stands still meanwhile. */
    void freeze(int index, long forMillis, boolean suspended) {
        Node node = nodes.get(index);
        if (node.frozen || !node.up) {
            return;
        }
        node.frozen = true;
        node.suspendedSinceMillis = nowMillis;
        after(forMillis, () -> {
            node.frozen = false;
            node.suspendedMillis += suspended ? nowMillis - node.suspendedSinceMillis : 0;
            List<Runnable> waiting = List.copyOf(node.held);
            node.held.clear();
            waiting.forEach(node::execute);
        });
    }

    /** Kills a node, or stops it in order, and starts it again. */
    void restart(int index, long downMillis, boolean inOrder) {
        Node node = nodes.get(index);
        if (node.frozen || !node.up) {
            return;
        }
        if (inOrder) {
            node.server.stop();
            node.register(false);
        } else {
            node.up = false;
        }
        after(downMillis, node::start);
    }

    void cut(int index, long forMillis) {
        Node node = nodes.get(index);
        node.cut = true;
        after(forMillis, () -> node.cut = false);
    }

    Random random() {
        return random;
    }

    int nodeCount() {
        return nodes.size();
    }

    long nowMillis() {
        return nowMillis;
    }

    List<Send> sends() {
        return sends;
    }
}
