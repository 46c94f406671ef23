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
 * Keeps the highest generation in force at a node. Two relays of a data centre watch the platform; a new generation is
 * announced from node to node, and each pulls what it lacks from the one that announced it. Each node reports what is
 * in force to the relays and learns from their answers what they know.
 */
public final class ConfigurationFollower {

    private static final long CANDIDATE_TICK_MILLIS = 500;
    private static final long TICK_MILLIS = 1_000;
    private static final long REPORT_TIMEOUT_MILLIS = 400;
    private static final long PEERS_FIRST_MILLIS = 1_000;

    private final FollowerEnvironment environment;
    private final ActiveConfiguration active;
    private final Executor serial;
    private final HeldConfiguration held;
    private final PlatformSource platform;
    private final PeerExchange peers;
    private final InForceSummary summary;
    private final Map<String, Boolean> sighted = new HashMap<>();
    private RelayOrder order = new RelayOrder(List.of());
    private long known;
    private int pendingAnswers = 1;
    private boolean someAnswered;
    private volatile boolean caughtUp;
    private volatile boolean stopped;

    /**
     * Creates a follower.
     *
     * @param environment what it works with
     * @param active where generations are put in force
     * @param listener hears each file set that is put in force, on the environment's executor
     */
    public ConfigurationFollower(
            FollowerEnvironment environment, ActiveConfiguration active, Consumer<FileSet> listener) {
        this.environment = environment;
        this.active = active;
        this.serial = new SerialExecutor(environment.executor());
        this.held = new HeldConfiguration(active, environment.events(), listener);
        this.platform = new PlatformSource(environment, serial, held, this::accepted);
        this.peers = new PeerExchange(environment.transport(), serial, held, this::accepted);
        this.summary = new InForceSummary(environment);
    }

    /** Starts to follow. */
    public void start() {
        peers.register();
        environment.transport().register(MessageTypes.CONFIGURATION_REPORT, (sender, payload) -> {
            long generation = Report.decode(payload).generation();
            return CompletableFuture.supplyAsync(
                    () -> reported(sender, generation).encode(), serial);
        });
        environment.members().onChange(() -> serial.execute(this::reorder));
        serial.execute(() -> {
            platform.readGeneration(this::platformAnswered, this::sourceSettled);
            reorder();
            tick();
        });
    }

    /** Stops to follow. */
    public void stop() {
        stopped = true;
        serial.execute(platform::stop);
    }

    /**
     * Returns whether the node may serve: the highest generation that the platform or the asked peers knew at the start
     * is in force.
     *
     * @return true from the first such moment on
     */
    public boolean isCaughtUp() {
        return caughtUp;
    }

    /**
     * Returns the generation in force here.
     *
     * @return its number, 0 for none
     */
    public long generation() {
        return active.current().map(Generation::number).orElse(0L);
    }

    /**
     * Returns whether this node watches the platform for its data centre.
     *
     * @return true while it has the role
     */
    public boolean isRelay() {
        return platform.acting();
    }

    /**
     * Takes note of a generation that another node mentioned.
     *
     * @param nodeId the other node
     * @param generation the generation in force there
     */
    public void heard(String nodeId, long generation) {
        if (generation > 0) {
            serial.execute(() -> heardInTurn(nodeId, generation));
        }
    }

    private void heardInTurn(String nodeId, long generation) {
        known = Math.max(known, generation);
        peers.heard(nodeId, generation);
    }

    private void reorder() {
        order = RelayOrder.of(environment.members().liveMembers());
        sighted.keySet().retainAll(order.nodeIds());
        platform.act(actingNodes().contains(selfId()));
    }

    private String selfId() {
        return environment.members().self().nodeId();
    }

    private List<String> actingNodes() {
        return order.acting(nodeId -> nodeId.equals(selfId())
                ? !platform.acting() || platform.sighted()
                : sighted.getOrDefault(nodeId, true));
    }

    private void tick() {
        if (stopped) {
            return;
        }
        List<String> acting = actingNodes();
        platform.act(acting.contains(selfId()));
        acting.forEach(this::report);
        summary.reported(selfId(), held.generation());
        updateSummary();
        boolean candidate = order.nodeIds().indexOf(selfId()) < RelayOrder.CANDIDATES;
        environment
                .timers()
                .schedule(candidate ? CANDIDATE_TICK_MILLIS : TICK_MILLIS, () -> serial.execute(this::tick));
    }

    private void updateSummary() {
        boolean first = platform.sighted()
                && order.nodeIds().stream()
                        .takeWhile(nodeId -> !nodeId.equals(selfId()))
                        .noneMatch(nodeId -> actingNodes().contains(nodeId) && sighted.getOrDefault(nodeId, true));
        summary.update(first);
    }

    private void report(String nodeId) {
        if (nodeId.equals(selfId())) {
            return;
        }
        boolean atStart = !caughtUp;
        if (atStart) {
            pendingAnswers++;
        }
        byte[] payload = new Report(held.generation()).encode();
        environment
                .transport()
                .request(nodeId, MessageTypes.CONFIGURATION_REPORT, payload, REPORT_TIMEOUT_MILLIS)
                .thenAccept(reply -> serial.execute(() -> {
                    answered(nodeId, reply);
                    if (atStart) {
                        sourceSettled();
                    }
                }));
    }

    private void answered(String nodeId, PeerReply reply) {
        if (reply instanceof PeerReply.Answered answer) {
            ReportAnswer view = ReportAnswer.decode(answer.payload());
            sighted.put(nodeId, view.sighted());
            someAnswered = true;
            heardInTurn(nodeId, view.generation());
        } else {
            sighted.put(nodeId, false);
        }
        platform.act(actingNodes().contains(selfId()));
    }

    private ReportAnswer reported(String sender, long generation) {
        summary.reported(sender, generation);
        heardInTurn(sender, generation);
        updateSummary();
        return new ReportAnswer(held.generation(), platform.sighted());
    }

    private void platformAnswered(long generation) {
        known = Math.max(known, generation);
        someAnswered = true;
        sourceSettled();
        if (generation > held.generation()) {
            boolean alone = order.nodeIds().size() <= 1;
            environment.timers().schedule(alone ? 1 : PEERS_FIRST_MILLIS, () -> serial.execute(this::loadIfBehind));
        }
    }

    private void loadIfBehind() {
        if (!stopped && known > held.generation()) {
            platform.loadOnce();
        }
    }

    private void sourceSettled() {
        pendingAnswers--;
        checkCaughtUp();
    }

    private void checkCaughtUp() {
        if (!caughtUp && pendingAnswers <= 0 && someAnswered && held.generation() > 0) {
            caughtUp = held.generation() >= known;
        }
    }

    private void accepted() {
        known = Math.max(known, held.generation());
        peers.announce(order.children(selfId()));
        summary.reported(selfId(), held.generation());
        actingNodes().forEach(this::report);
        updateSummary();
        checkCaughtUp();
    }
}
