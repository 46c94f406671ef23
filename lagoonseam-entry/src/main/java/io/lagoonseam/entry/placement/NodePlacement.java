package io.lagoonseam.entry.placement;

import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.core.configuration.Generation;
import io.lagoonseam.core.configuration.Model;
import io.lagoonseam.core.membership.MemberDirectory;
import io.lagoonseam.core.membership.RoleHolders;
import io.lagoonseam.core.peer.PeerTransport;
import io.lagoonseam.core.placement.HeldLease;
import io.lagoonseam.core.placement.LeaseOptions;
import io.lagoonseam.core.placement.ModelDemand;
import io.lagoonseam.core.placement.PlacementController;
import io.lagoonseam.core.placement.PlacementEnvironment;
import io.lagoonseam.core.placement.PlacementOptions;
import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.entry.configuration.ActiveConfiguration;
import io.lagoonseam.entry.platform.JsonLeaseCodec;
import io.lagoonseam.entry.settings.EntrySettings;
import io.lagoonseam.entry.upstream.HttpEngineControl;
import io.vertx.core.Vertx;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.stream.Collectors;

/**
 * Runs a placement controller for each service whose models are placed, on the few nodes of a data centre that are
 * candidates for its lease.
 */
public final class NodePlacement {

    private static final long TICK_MILLIS = 250;
    private static final long REFRESH_MILLIS = 1_000;

    /** The candidates in each data centre, so that platform calls do not grow with nodes. */
    private static final int CANDIDATES = 2;

    private final Environment environment;
    private final Executor decisions;
    private final ModelDemand demand;
    private final DemandExchange exchange;
    private final PlacementEnvironment placementEnvironment;
    private final Map<String, PlacementController> controllers = new ConcurrentHashMap<>();
    private long tickTimer = -1;
    private long refreshTimer = -1;
    private volatile boolean leaving;

    /**
     * What a node's placement works with.
     *
     * @param vertx the Vert.x instance
     * @param settings the node's settings
     * @param store the platform
     * @param directory the members
     * @param transport the way to other nodes
     * @param configuration what is in force
     * @param time the clocks
     * @param events the sink of numbered events
     */
    public record Environment(
            Vertx vertx,
            EntrySettings settings,
            ObjectStore store,
            MemberDirectory directory,
            PeerTransport transport,
            ActiveConfiguration configuration,
            TimeSource time,
            EventSink events) {}

    /**
     * Creates a placement that is not started.
     *
     * @param environment what it works with
     * @param decisions the threads that run decisions
     */
    public NodePlacement(Environment environment, Executor decisions) {
        this.environment = environment;
        this.decisions = decisions;
        this.demand = new ModelDemand(environment.time());
        this.exchange = new DemandExchange(
                environment.directory(),
                environment.transport(),
                demand,
                environment.settings().seed());
        long timeoutMillis = PlacementOptions.standard().longestOrderMillis();
        this.placementEnvironment = new PlacementEnvironment(
                environment.store(),
                new JsonLeaseCodec(),
                LeaseOptions.standard(),
                environment.time(),
                () -> UUID.randomUUID().toString(),
                new HttpEngineControl(environment.vertx(), timeoutMillis),
                environment.events());
    }

    /**
     * Counts a generating request.
     *
     * @param model the model that it names
     */
    public void recordDemand(String model) {
        demand.record(model);
    }

    /** Starts to place. */
    public void start() {
        tickTimer = environment.vertx().setPeriodic(TICK_MILLIS, timer -> decisions.execute(this::tick));
        refreshTimer = environment.vertx().setPeriodic(REFRESH_MILLIS, timer -> {
            if (!leases().isEmpty()) {
                exchange.refresh();
            }
        });
    }

    /** Stops without a hand-over. */
    public void stop() {
        environment.vertx().cancelTimer(tickTimer);
        environment.vertx().cancelTimer(refreshTimer);
    }

    /**
     * Gives all leases up, so that other nodes may take them at once.
     *
     * @return completes when the platform was told, or could not be
     */
    public CompletionStage<Void> handOver() {
        leaving = true;
        return CompletableFuture.allOf(controllers.values().stream()
                .map(controller -> controller.release().toCompletableFuture())
                .toArray(CompletableFuture[]::new));
    }

    /**
     * Returns the leases that this node holds now.
     *
     * @return leases by service
     */
    public Map<String, HeldLease> leases() {
        Map<String, HeldLease> held = new TreeMap<>();
        controllers.forEach((service, controller) -> controller.held().ifPresent(lease -> held.put(service, lease)));
        return held;
    }

    private Optional<FileSet> fileSet() {
        return environment.configuration().current().map(Generation::fileSet);
    }

    private void tick() {
        if (leaving) {
            return;
        }
        for (String service : placedServices()) {
            PlacementController controller = controllers.computeIfAbsent(service, this::newController);
            boolean candidate = RoleHolders.holds(environment.directory(), "placement/" + service, CANDIDATES);
            if (candidate || controller.held().isPresent()) {
                controller.tick();
            }
        }
    }

    private Set<String> placedServices() {
        return fileSet()
                .map(files -> files.models().values().stream()
                        .filter(Model::isPlaced)
                        .map(Model::service)
                        .collect(Collectors.toSet()))
                .orElse(Set.of());
    }

    private PlacementController newController(String service) {
        return new PlacementController(
                placementEnvironment,
                PlacementOptions.standard(),
                service,
                environment.settings().nodeId(),
                new FileSetScope(service, this::fileSet, exchange::demand),
                new Random(environment.settings().seed()));
    }
}
