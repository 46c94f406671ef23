package io.lagoonseam.bench.propagation;

import io.lagoonseam.core.audit.NoopEventSink;
import io.lagoonseam.core.configuration.RelayOrder;
import io.lagoonseam.core.invariant.Invariant;
import io.lagoonseam.core.invariant.InvariantMonitor;
import io.lagoonseam.core.time.SystemTimeSource;
import io.lagoonseam.core.time.Timers;
import io.lagoonseam.entry.configuration.ActiveConfiguration;
import io.lagoonseam.entry.configuration.ConfigurationFollower;
import io.lagoonseam.entry.configuration.ConfigurationStore;
import io.lagoonseam.entry.configuration.FollowerEnvironment;
import io.lagoonseam.entry.configuration.InForceReader;
import io.lagoonseam.entry.platform.PlatformClient;
import io.lagoonseam.standin.platform.PlatformStandIn;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicLong;

/** Followers without callers and upstreams, in several data centres, before one platform on loopback. */
final class LightFleet {

    private static final long MEMBER_LOSS_MILLIS = 1_500;

    private final Vertx vertx;
    private final ExecutorService decisions;
    private final PlatformStandIn platform;
    private final Timers timers;
    private final LoopTransport transport;
    private final long seed;
    private final List<LightDirectory> directories = new ArrayList<>();
    private final Map<String, Node> nodes = new ConcurrentHashMap<>();
    private final AtomicLong calls = new AtomicLong();
    private final AtomicLong violations = new AtomicLong();
    private int started;

    LightFleet(Vertx vertx, ExecutorService decisions, PlatformStandIn platform, long seed) {
        this.vertx = vertx;
        this.decisions = decisions;
        this.platform = platform;
        this.seed = seed;
        this.timers = (delayMillis, task) -> vertx.setTimer(Math.max(1, delayMillis), timer -> task.run());
        this.transport = new LoopTransport(timers);
    }

    /** One node. */
    static final class Node {

        private final int dataCentre;
        private final SwitchedStore store;
        private final InvariantMonitor invariants = new InvariantMonitor(new NoopEventSink());
        private final ActiveConfiguration active = new ActiveConfiguration(invariants);
        private final ConfigurationFollower follower;
        private long highest;

        private Node(int dataCentre, SwitchedStore store, FollowerEnvironment environment) {
            this.dataCentre = dataCentre;
            this.store = store;
            this.follower = new ConfigurationFollower(environment, active, fileSet -> {});
        }

        long generation() {
            return follower.generation();
        }

        boolean isCaughtUp() {
            return follower.isCaughtUp();
        }
    }

    InForceReader inForce() {
        return new InForceReader(newStore());
    }

    ConfigurationStore operator() {
        return new ConfigurationStore(newStore(), timers);
    }

    private SwitchedStore newStore() {
        return new SwitchedStore(new PlatformClient(vertx, platform.url()), calls);
    }

    void start(int dataCentres, int count) {
        for (int index = 0; index < dataCentres; index++) {
            directories.add(new LightDirectory("dc-" + index));
        }
        for (int index = 0; index < count; index++) {
            startNode(index % dataCentres);
        }
    }

    Node startNode(int dataCentre) {
        started++;
        String nodeId = "entry-" + started;
        LightDirectory directory = directories.get(dataCentre);
        SwitchedStore store = newStore();
        directory.join(nodeId);
        Node node = new Node(
                dataCentre,
                store,
                new FollowerEnvironment(
                        store,
                        transport.open(nodeId),
                        directory.viewOf(nodeId),
                        timers,
                        decisions,
                        new SystemTimeSource(),
                        new NoopEventSink(),
                        seed + started));
        nodes.put(nodeId, node);
        node.follower.start();
        return node;
    }

    /** Ends the first relays of a data centre at once; the others learn of it later. */
    void crashRelays(int dataCentre, int count) {
        LightDirectory directory = directories.get(dataCentre);
        List<String> order = RelayOrder.of(directory.members()).nodeIds();
        for (String relay : order.subList(0, count)) {
            nodes.remove(relay).follower.stop();
            transport.close(relay);
            timers.schedule(MEMBER_LOSS_MILLIS, () -> directory.leave(relay));
        }
    }

    void cutOff(int dataCentre, boolean value) {
        nodes.values().stream().filter(node -> node.dataCentre == dataCentre).forEach(node -> node.store.cutOff(value));
    }

    void stop() {
        nodes.values().forEach(node -> node.follower.stop());
    }

    /** Returns the lowest generation in force, and checks each node on the way. */
    long lowestGeneration(Map<Long, Long> markers) {
        long lowest = Long.MAX_VALUE;
        for (Node node : nodes.values()) {
            long generation = node.generation();
            if (generation < node.highest) {
                violations.incrementAndGet();
            }
            node.highest = generation;
            lowest = Math.min(lowest, generation);
        }
        checkMarkers(markers);
        return lowest;
    }

    private void checkMarkers(Map<Long, Long> markers) {
        for (Node node : nodes.values()) {
            node.active.current().ifPresent(generation -> {
                Long expected = markers.get(generation.number());
                long marker =
                        generation.fileSet().limits().get(SyntheticFiles.MARKER).requestsPerSecond();
                if (expected != null && expected != marker) {
                    violations.incrementAndGet();
                }
            });
        }
    }

    long violations() {
        long monitored = nodes.values().stream()
                .mapToLong(node -> node.invariants.violations(Invariant.GENERATION_NEVER_FALLS))
                .sum();
        return violations.get() + monitored;
    }

    long calls() {
        return calls.get();
    }

    long peerBytes() {
        return transport.bytes();
    }

    int size() {
        return nodes.size();
    }
}
