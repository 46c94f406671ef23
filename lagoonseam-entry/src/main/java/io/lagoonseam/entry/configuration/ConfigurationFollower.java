package io.lagoonseam.entry.configuration;

import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.core.configuration.Generation;
import io.lagoonseam.core.configuration.RelayOrder;
import io.lagoonseam.core.peer.PeerReply;
import io.lagoonseam.wire.ConfigurationMessages.Report;
import io.lagoonseam.wire.ConfigurationMessages.ReportAnswer;
import io.lagoonseam.wire.MessageTypes;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Keeps the highest accepted generation in force at a node. The relays of a data centre, normally two, watch the
 * platform. A new generation is announced from node to node, and each node pulls the parts that it lacks from the node
 * that announced it. Each node reports the generation in force to the relays, whose replies carry their own generation
 * and whether they can reach the platform.
 */
public final class ConfigurationFollower {

    /** Interval at which relay candidates report; other nodes use {@link #REPORT_INTERVAL_MILLIS}. */
    private static final long CANDIDATE_REPORT_INTERVAL_MILLIS = 500;

    private static final long REPORT_INTERVAL_MILLIS = 1_000;
    private static final long REPORT_TIMEOUT_MILLIS = 400;
    /**
     * Delay before a node that is behind at the start loads from the platform, so that it can load from peers first; a
     * node without peers loads immediately.
     */
    private static final long PLATFORM_LOAD_DELAY_MILLIS = 1_000;

    private final FollowerEnvironment environment;
    private final ActiveConfiguration active;
    private final Executor serial;
    private final ConfigurationReplica replica;
    private final PlatformSource platform;
    private final PeerExchange peers;
    private final InForceStatusWriter statusWriter;
    private final Map<String, Boolean> platformReachableByNode = new HashMap<>();
    private RelayOrder relayOrder = new RelayOrder(List.of());
    private long highestKnown;
    private int pendingSources = 1;
    private boolean anySourceResponded;
    private volatile boolean caughtUp;
    private volatile boolean stopped;

    /**
     * Creates a follower that is not started.
     *
     * @param environment its collaborators
     * @param active receives the generations to put in force
     * @param listener receives each file set that is put in force, on the environment's executor
     */
    public ConfigurationFollower(
            FollowerEnvironment environment, ActiveConfiguration active, Consumer<FileSet> listener) {
        this.environment = environment;
        this.active = active;
        this.serial = new SerialExecutor(environment.executor());
        this.replica = new ConfigurationReplica(active, environment.events(), listener);
        this.platform = new PlatformSource(environment, serial, replica, this::onAccepted);
        this.peers = new PeerExchange(environment.transport(), serial, replica, this::onAccepted);
        this.statusWriter = new InForceStatusWriter(environment);
    }

    /** Starts to load generations and to exchange them with other nodes. */
    public void start() {
        peers.register();
        environment.transport().register(MessageTypes.CONFIGURATION_REPORT, (sender, payload) -> {
            long generation = Report.decode(payload).generation();
            return CompletableFuture.supplyAsync(
                    () -> handleReport(sender, generation).encode(), serial);
        });
        environment.members().onChange(() -> serial.execute(this::updateRelayOrder));
        serial.execute(() -> {
            platform.readGeneration(this::onPlatformGeneration, this::onSourceSettled);
            updateRelayOrder();
            tick();
        });
    }

    /** Stops the periodic reports and the watch of the platform. */
    public void stop() {
        stopped = true;
        serial.execute(platform::stop);
    }

    /**
     * Returns whether the node has caught up, so that it may serve requests: the platform and the relays queried since
     * the start have all responded or failed, at least one of them has responded, and the highest generation known is
     * in force.
     *
     * @return true from the first such moment on
     */
    public boolean isCaughtUp() {
        return caughtUp;
    }

    /**
     * Returns the generation in force at this node.
     *
     * @return the generation, 0 for none
     */
    public long generation() {
        return active.current().map(Generation::number).orElse(0L);
    }

    /**
     * Returns whether this node is a relay, which watches the platform for its data centre.
     *
     * @return true while it has the role
     */
    public boolean isRelay() {
        return platform.isRelay();
    }

    /**
     * Records a generation that another node reported, and pulls it from there if it is later than the one held here.
     *
     * @param nodeId the id of the other node
     * @param generation the generation in force there
     */
    public void recordGeneration(String nodeId, long generation) {
        if (generation > 0) {
            serial.execute(() -> handleGeneration(nodeId, generation));
        }
    }

    private void handleGeneration(String nodeId, long generation) {
        highestKnown = Math.max(highestKnown, generation);
        peers.onGenerationReported(nodeId, generation);
    }

    private void updateRelayOrder() {
        relayOrder = RelayOrder.of(environment.members().liveMembers());
        platformReachableByNode.keySet().retainAll(relayOrder.nodeIds());
        platform.setRelay(activeRelays().contains(selfId()));
    }

    private String selfId() {
        return environment.members().self().nodeId();
    }

    private List<String> activeRelays() {
        return relayOrder.activeRelays(nodeId -> nodeId.equals(selfId())
                ? !platform.isRelay() || platform.platformReachable()
                : platformReachableByNode.getOrDefault(nodeId, true));
    }

    private void tick() {
        if (stopped) {
            return;
        }
        List<String> activeRelays = activeRelays();
        platform.setRelay(activeRelays.contains(selfId()));
        activeRelays.forEach(this::report);
        statusWriter.recordReport(selfId(), replica.generation());
        updateStatus();
        boolean candidate = relayOrder.nodeIds().indexOf(selfId()) < RelayOrder.CANDIDATES;
        environment
                .timers()
                .schedule(
                        candidate ? CANDIDATE_REPORT_INTERVAL_MILLIS : REPORT_INTERVAL_MILLIS,
                        () -> serial.execute(this::tick));
    }

    private void updateStatus() {
        boolean isWriter = platform.platformReachable()
                && relayOrder.nodeIds().stream()
                        .takeWhile(nodeId -> !nodeId.equals(selfId()))
                        .noneMatch(nodeId ->
                                activeRelays().contains(nodeId) && platformReachableByNode.getOrDefault(nodeId, true));
        statusWriter.update(isWriter);
    }

    private void report(String nodeId) {
        if (nodeId.equals(selfId())) {
            return;
        }
        boolean atStart = !caughtUp;
        if (atStart) {
            pendingSources++;
        }
        byte[] payload = new Report(replica.generation()).encode();
        environment
                .transport()
                .request(nodeId, MessageTypes.CONFIGURATION_REPORT, payload, REPORT_TIMEOUT_MILLIS)
                .thenAccept(reply -> serial.execute(() -> {
                    handleReportReply(nodeId, reply);
                    if (atStart) {
                        onSourceSettled();
                    }
                }));
    }

    private void handleReportReply(String nodeId, PeerReply reply) {
        if (reply instanceof PeerReply.Answered answer) {
            ReportAnswer relayView = ReportAnswer.decode(answer.payload());
            platformReachableByNode.put(nodeId, relayView.platformReachable());
            anySourceResponded = true;
            handleGeneration(nodeId, relayView.generation());
        } else {
            platformReachableByNode.put(nodeId, false);
        }
        platform.setRelay(activeRelays().contains(selfId()));
    }

    private ReportAnswer handleReport(String sender, long generation) {
        statusWriter.recordReport(sender, generation);
        handleGeneration(sender, generation);
        updateStatus();
        return new ReportAnswer(replica.generation(), platform.platformReachable());
    }

    private void onPlatformGeneration(long generation) {
        highestKnown = Math.max(highestKnown, generation);
        anySourceResponded = true;
        onSourceSettled();
        if (generation > replica.generation()) {
            boolean isOnlyNode = relayOrder.nodeIds().size() <= 1;
            environment
                    .timers()
                    .schedule(isOnlyNode ? 1 : PLATFORM_LOAD_DELAY_MILLIS, () -> serial.execute(this::loadIfBehind));
        }
    }

    private void loadIfBehind() {
        if (!stopped && highestKnown > replica.generation()) {
            platform.loadOnce();
        }
    }

    private void onSourceSettled() {
        pendingSources--;
        checkCaughtUp();
    }

    private void checkCaughtUp() {
        if (!caughtUp && pendingSources <= 0 && anySourceResponded && replica.generation() > 0) {
            caughtUp = replica.generation() >= highestKnown;
        }
    }

    private void onAccepted() {
        highestKnown = Math.max(highestKnown, replica.generation());
        peers.announce(relayOrder.children(selfId()));
        statusWriter.recordReport(selfId(), replica.generation());
        activeRelays().forEach(this::report);
        updateStatus();
        checkCaughtUp();
    }
}
