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

/**
 * Runs configuration followers of several data centres, without callers and upstreams, against one platform stand-in on
 * the loopback interface.
 */
final class FollowerFleet {

    private static final long MEMBER_LOSS_DELAY_MILLIS = 1_500;

    private final Vertx vertx;
    private final ExecutorService decisions;
    private final PlatformStandIn platform;
    private final Timers timers;
    private final InProcessTransport transport;
    private final long seed;
    private final List<DataCentreDirectory> directories = new ArrayList<>();
    private final Map<String, FollowerNode> nodes = new ConcurrentHashMap<>();
    private final AtomicLong platformCalls = new AtomicLong();
    private final AtomicLong violations = new AtomicLong();
    private int startedNodes;

    FollowerFleet(Vertx vertx, ExecutorService decisions, PlatformStandIn platform, long seed) {
        this.vertx = vertx;
        this.decisions = decisions;
        this.platform = platform;
        this.seed = seed;
        this.timers = (delayMillis, task) -> vertx.setTimer(Math.max(1, delayMillis), timer -> task.run());
        this.transport = new InProcessTransport(timers);
    }

    /** A node that only follows the configuration. */
    static final class FollowerNode {

        private final int dataCentre;
        private final PartitionableStore store;
        private final InvariantMonitor invariants = new InvariantMonitor(new NoopEventSink());
        private final ActiveConfiguration active = new ActiveConfiguration(invariants);
        private final ConfigurationFollower follower;
        private long highestGeneration;

        private FollowerNode(int dataCentre, PartitionableStore store, FollowerEnvironment environment) {
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

    private PartitionableStore newStore() {
        return new PartitionableStore(new PlatformClient(vertx, platform.url()), platformCalls);
    }

    void start(int dataCentres, int count) {
        for (int index = 0; index < dataCentres; index++) {
            directories.add(new DataCentreDirectory("dc-" + index));
        }
        for (int index = 0; index < count; index++) {
            startNode(index % dataCentres);
        }
    }

    FollowerNode startNode(int dataCentre) {
        startedNodes++;
        String nodeId = "entry-" + startedNodes;
        DataCentreDirectory directory = directories.get(dataCentre);
        PartitionableStore store = newStore();
        directory.join(nodeId);
        FollowerNode node = new FollowerNode(
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
                        seed + startedNodes));
        nodes.put(nodeId, node);
        node.follower.start();
        return node;
    }

    /**
     * Stops the first relays of a data centre at once; the other nodes see them leave the membership 1,500 ms later.
     */
    void crashRelays(int dataCentre, int count) {
        DataCentreDirectory directory = directories.get(dataCentre);
        List<String> order = RelayOrder.of(directory.members()).nodeIds();
        for (String relay : order.subList(0, count)) {
            nodes.remove(relay).follower.stop();
            transport.close(relay);
            timers.schedule(MEMBER_LOSS_DELAY_MILLIS, () -> directory.leave(relay));
        }
    }

    void setPartitioned(int dataCentre, boolean value) {
        nodes.values().stream()
                .filter(node -> node.dataCentre == dataCentre)
                .forEach(node -> node.store.setPartitioned(value));
    }

    void stop() {
        nodes.values().forEach(node -> node.follower.stop());
    }

    /**
     * Returns the lowest generation in force at any node. Counts a violation for each node whose generation fell or
     * whose file set does not carry the marker of its generation.
     *
     * @param markers the expected marker by generation; other generations are not checked
     */
    long lowestGeneration(Map<Long, Long> markers) {
        long lowest = Long.MAX_VALUE;
        for (FollowerNode node : nodes.values()) {
            long generation = node.generation();
            if (generation < node.highestGeneration) {
                violations.incrementAndGet();
            }
            node.highestGeneration = generation;
            lowest = Math.min(lowest, generation);
        }
        checkMarkers(markers);
        return lowest;
    }

    private void checkMarkers(Map<Long, Long> markers) {
        for (FollowerNode node : nodes.values()) {
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

    long platformCalls() {
        return platformCalls.get();
    }

    long peerBytes() {
        return transport.bytes();
    }

    int size() {
        return nodes.size();
    }
}
