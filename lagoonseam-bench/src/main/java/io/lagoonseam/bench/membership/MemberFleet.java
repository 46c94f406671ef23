package io.lagoonseam.bench.membership;

import com.codahale.metrics.MetricRegistry;
import com.sun.management.OperatingSystemMXBean;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.time.SystemTimeSource;
import io.lagoonseam.entry.peer.PeerLayer;
import io.lagoonseam.entry.platform.PlatformClient;
import io.lagoonseam.entry.platform.UpstreamWatch;
import io.lagoonseam.entry.settings.EntrySettings;
import io.lagoonseam.standin.platform.PlatformStandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

/**
 * Runs the peer layer and the upstream watch of several nodes in one process, connected over the loopback interface.
 */
final class MemberFleet implements AutoCloseable {

    private static final String HOST = "127.0.0.1";
    private static final int THREADS = 4;
    private static final long IDLE_MEASUREMENT_MILLIS = 1_000;
    private static final long SETTLE_MILLIS = 2_000;
    private static final long STEADY_STATE_MILLIS = 2_500;
    private static final long STEP_TIMEOUT_MILLIS = 15_000;
    private static final long POLL_MILLIS = 10;
    private static final long AWAIT_TIMEOUT_SECONDS = 20;
    private static final long UPSTREAM_WATCH_INTERVAL_MILLIS = 1_000;
    private static final double BYTES_PER_MEGABYTE = 1_000_000;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(THREADS));
    private final ExecutorService decisions = Executors.newFixedThreadPool(THREADS);
    private final List<MemberNode> nodes = new ArrayList<>();
    private final Set<String> endedNodeIds = ConcurrentHashMap.newKeySet();
    private final AtomicLong falseDeaths = new AtomicLong();
    private final EventSink events = this::countFalseDeath;
    private long timedOutSteps;

    private record MemberNode(String nodeId, PeerLayer peers, MetricRegistry registry) {

        private long bytes() {
            return registry.counter("peer.bytesSent").getCount()
                    + registry.counter("peer.bytesReceived").getCount();
        }
    }

    private void countFalseDeath(EventCode code, String detail) {
        if (code == EventCode.MEMBER_DEAD && !endedNodeIds.contains(detail.split(" ")[0])) {
            falseDeaths.incrementAndGet();
        }
    }

    static double coreShareWhileIdle() throws InterruptedException {
        long before = processCpuNanos();
        Thread.sleep(IDLE_MEASUREMENT_MILLIS);
        return (processCpuNanos() - before) / (double) TimeUnit.MILLISECONDS.toNanos(IDLE_MEASUREMENT_MILLIS);
    }

    /**
     * Runs a fleet for 2,000 ms after its start, so that the first size is not measured in code that has never run
     * before.
     */
    static void warmUp(int size, long seed) throws InterruptedException {
        try (MemberFleet fleet = new MemberFleet()) {
            fleet.start(size, seed);
            Thread.sleep(SETTLE_MILLIS);
        }
    }

    static MembershipFigures measure(int size, long seed) throws InterruptedException {
        long heapBefore = usedHeapBytes();
        try (MemberFleet fleet = new MemberFleet()) {
            fleet.start(size, seed);
            long allKnownMillis = fleet.timeUntil(() -> fleet.allNodesSee(size));
            Thread.sleep(SETTLE_MILLIS);
            long bytesBefore = fleet.bytes();
            long cpuBefore = processCpuNanos();
            long startNanos = System.nanoTime();
            Thread.sleep(STEADY_STATE_MILLIS);
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            double coreShare = (processCpuNanos() - cpuBefore) / 1e9 / seconds / size;
            double bytesPerSecond = (fleet.bytes() - bytesBefore) / seconds / size;
            double heapMegabytes = (usedHeapBytes() - heapBefore) / BYTES_PER_MEGABYTE / size;
            long deadFoundMillis = fleet.crashNode();
            long leaveKnownMillis = fleet.announceLeave();
            return new MembershipFigures(
                    size,
                    allKnownMillis,
                    deadFoundMillis,
                    leaveKnownMillis,
                    bytesPerSecond,
                    coreShare,
                    heapMegabytes,
                    fleet.falseDeaths.get(),
                    fleet.timedOutSteps);
        }
    }

    private static long processCpuNanos() {
        return ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class).getProcessCpuTime();
    }

    private static long usedHeapBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private void start(int size, long seed) {
        PlatformStandIn platform = new PlatformStandIn(HOST, 0, seed);
        await(vertx.deployVerticle(platform));
        for (int number = 1; number <= size; number++) {
            startNode("entry-" + number, platform.url(), seed + number);
        }
    }

    private void startNode(String nodeId, String platformUrl, long seed) {
        MetricRegistry registry = new MetricRegistry();
        EntrySettings settings =
                EntrySettings.builder(nodeId, "a", platformUrl).seed(seed).build();
        PlatformClient platform = new PlatformClient(vertx, platformUrl);
        SystemTimeSource time = new SystemTimeSource();
        PeerLayer peers =
                new PeerLayer(new PeerLayer.Environment(vertx, settings, platform, decisions, time, registry, events));
        UpstreamWatch watch = new UpstreamWatch(new UpstreamWatch.Environment(
                platform, peers.members(), peers.transport(), Set::of, names -> {}, time, events));
        await(peers.start());
        vertx.setPeriodic(UPSTREAM_WATCH_INTERVAL_MILLIS, timer -> watch.tick());
        nodes.add(new MemberNode(nodeId, peers, registry));
    }

    private long bytes() {
        return nodes.stream().mapToLong(MemberNode::bytes).sum();
    }

    private boolean allNodesSee(int count) {
        return nodes.stream()
                .allMatch(node -> node.peers().members().liveMembers().size() == count);
    }

    private long crashNode() {
        MemberNode crashed = nodes.remove(0);
        endedNodeIds.add(crashed.nodeId());
        await(crashed.peers().close());
        return timeUntil(() -> allNodesSee(nodes.size()));
    }

    private long announceLeave() {
        MemberNode leaving = nodes.remove(0);
        endedNodeIds.add(leaving.nodeId());
        leaving.peers().leave();
        return timeUntil(() -> allNodesSee(nodes.size()));
    }

    private long timeUntil(BooleanSupplier condition) {
        long startNanos = System.nanoTime();
        long deadlineNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(STEP_TIMEOUT_MILLIS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                timedOutSteps++;
                break;
            }
            sleep(POLL_MILLIS);
        }
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    private static <T> T await(Future<T> future) {
        try {
            return future.await(AWAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            throw new IllegalStateException(
                    "asynchronous operation did not complete within " + AWAIT_TIMEOUT_SECONDS + " s", e);
        }
    }

    @Override
    public void close() {
        await(Future.join(nodes.stream().map(node -> node.peers().close()).toList()));
        await(vertx.close());
        decisions.shutdown();
    }
}
