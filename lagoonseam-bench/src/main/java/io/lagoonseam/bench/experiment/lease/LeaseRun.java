package io.lagoonseam.bench.experiment.lease;

import io.lagoonseam.bench.fleet.StandInClient;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.core.placement.LeaseOptions;
import io.lagoonseam.core.placement.ModelTarget;
import io.lagoonseam.core.placement.PlacementController;
import io.lagoonseam.core.placement.PlacementEnvironment;
import io.lagoonseam.core.placement.PlacementOptions;
import io.lagoonseam.core.placement.PlacementScope;
import io.lagoonseam.core.time.SystemTimeSource;
import io.lagoonseam.entry.platform.JsonLeaseCodec;
import io.lagoonseam.entry.platform.PlatformClient;
import io.lagoonseam.entry.upstream.HttpEngineControl;
import io.lagoonseam.standin.engine.EngineOptions;
import io.lagoonseam.standin.engine.ModelEngineStandIn;
import io.lagoonseam.standin.platform.PlatformStandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

/** Some controllers of one service under faults; afterwards the engines tell in which order they took orders. */
final class LeaseRun implements AutoCloseable {

    private static final String HOST = "127.0.0.1";
    private static final int CONTROLLERS = 3;
    private static final int ENGINES = 4;
    private static final long TICK_MILLIS = 20;
    private static final long DEMAND_PERIOD_MILLIS = 400;
    private static final long FAULT_PERIOD_MILLIS = 700;
    private static final long TIMEOUT_SECONDS = 10;
    private static final LeaseOptions LEASE = new LeaseOptions(600, 150, 100, 100);
    private static final PlacementOptions PLACEMENT = new PlacementOptions(2, 4, 150, 40);

    private final Vertx vertx = Vertx.vertx();
    private final StandInClient standIns = new StandInClient(vertx);
    private final boolean checksFencing;
    private final Random random;
    private final PlatformStandIn platform;
    private final List<ModelEngineStandIn> engines = new ArrayList<>();
    private final List<PausableEngineControl> controls = new ArrayList<>();
    private final List<PlacementController> controllers = new ArrayList<>();
    private final AtomicLong takeovers = new AtomicLong();
    private final AtomicLong ordersTaken = new AtomicLong();
    private final AtomicLong ordersFenced = new AtomicLong();
    private final long startNanos = System.nanoTime();
    private long pauses;
    private long outages;

    LeaseRun(boolean checksFencing, long seed) throws TimeoutException {
        this.checksFencing = checksFencing;
        this.random = new Random(seed);
        this.platform = new PlatformStandIn(HOST, 0, seed);
        await(vertx.deployVerticle(platform));
        for (int engine = 0; engine < ENGINES; engine++) {
            ModelEngineStandIn standIn = new ModelEngineStandIn(EngineOptions.builder()
                    .models(List.of(engine % 2 == 0 ? "care-1" : "care-2"))
                    .checksFencing(checksFencing)
                    .build());
            await(vertx.deployVerticle(standIn));
            engines.add(standIn);
        }
        for (int node = 0; node < CONTROLLERS; node++) {
            addController("node-" + node, seed + node);
        }
    }

    /** What a run brought. */
    record Outcome(
            long takeovers,
            long ordersTaken,
            long ordersFenced,
            long ordersSentLate,
            long pauses,
            long outages,
            long interleavedOrders) {}

    private static <T> T await(Future<T> future) throws TimeoutException {
        return future.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void addController(String nodeId, long seed) {
        PausableEngineControl control =
                new PausableEngineControl(new HttpEngineControl(vertx, PLACEMENT.longestOrderMillis()), checksFencing);
        PlacementEnvironment environment = new PlacementEnvironment(
                new PlatformClient(vertx, platform.url()),
                new JsonLeaseCodec(),
                LEASE,
                new SystemTimeSource(),
                () -> UUID.randomUUID().toString(),
                control,
                countingSink());
        controls.add(control);
        controllers.add(new PlacementController(
                environment, PLACEMENT, "care-llm", nodeId, new AlternatingScope(), new Random(seed)));
    }

    private EventSink countingSink() {
        return (code, detail) -> {
            if (code == EventCode.PLACEMENT_LEASE_TAKEN) {
                takeovers.incrementAndGet();
            } else if (code == EventCode.ENGINE_ORDERED) {
                ordersTaken.incrementAndGet();
            } else if (code == EventCode.ENGINE_ORDER_FENCED) {
                ordersFenced.incrementAndGet();
            }
        };
    }

    /** Wants more of one model, then of the other, so that orders never end. */
    private final class AlternatingScope implements PlacementScope {

        @Override
        public List<Upstream> engines() {
            List<Upstream> upstreams = new ArrayList<>();
            for (int engine = 0; engine < engines.size(); engine++) {
                upstreams.add(new Upstream(
                        "e" + engine, "care-llm", HOST, engines.get(engine).port(), "a", 8));
            }
            return upstreams;
        }

        @Override
        public List<ModelTarget> targets() {
            return List.of(
                    new ModelTarget("care-1", "1", 1, ENGINES, true),
                    new ModelTarget("care-2", "1", 1, ENGINES, false));
        }

        @Override
        public Map<String, Double> demand() {
            long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            boolean first = elapsedMillis / DEMAND_PERIOD_MILLIS % 2 == 0;
            return Map.of("care-1", first ? 100.0 : 1.0, "care-2", first ? 1.0 : 100.0);
        }

        @Override
        public boolean enginesCheckFencing() {
            return checksFencing;
        }
    }

    Outcome run(long durationMillis) throws InterruptedException {
        ScheduledExecutorService ticks = Executors.newScheduledThreadPool(2);
        for (int node = 0; node < CONTROLLERS; node++) {
            PlacementController controller = controllers.get(node);
            PausableEngineControl control = controls.get(node);
            ticks.scheduleAtFixedRate(
                    () -> {
                        if (!control.isPaused()) {
                            controller.tick();
                        }
                    },
                    0,
                    TICK_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMillis);
        while (System.nanoTime() < endNanos) {
            injectFault();
            Thread.sleep(FAULT_PERIOD_MILLIS);
        }
        controls.forEach(PausableEngineControl::resume);
        Thread.sleep(FAULT_PERIOD_MILLIS);
        ticks.shutdown();
        ticks.awaitTermination(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return outcome();
    }

    private void injectFault() {
        controls.forEach(PausableEngineControl::resume);
        JsonObject calm =
                new JsonObject().put("outage", false).put("slowMillis", 0).put("loseAnswersShare", 0.0);
        switch (random.nextInt(5)) {
            case 0, 1, 2 -> pauseHolder();
            case 3 -> {
                outages++;
                calm.put("outage", true);
            }
            default -> calm.put("slowMillis", 100).put("loseAnswersShare", 0.3);
        }
        standIns.post(platform.url() + "/faults", calm);
    }

    private void pauseHolder() {
        for (int node = 0; node < CONTROLLERS; node++) {
            if (controllers.get(node).held().isPresent()) {
                pauses++;
                controls.get(node).pause();
            }
        }
    }

    private Outcome outcome() {
        long interleaved = 0;
        for (ModelEngineStandIn engine : engines) {
            interleaved +=
                    interleavedOrders(standIns.get(engine.url() + "/orders").getJsonArray("history"));
        }
        long sentLate =
                controls.stream().mapToLong(PausableEngineControl::sentLate).sum();
        return new Outcome(
                takeovers.get(), ordersTaken.get(), ordersFenced.get(), sentLate, pauses, outages, interleaved);
    }

    /** Counts the orders that an engine took from an earlier holder after one from a later holder. */
    static long interleavedOrders(JsonArray history) {
        long highest = 0;
        long interleaved = 0;
        for (int index = 0; index < history.size(); index++) {
            long fencing = history.getJsonObject(index).getLong("fencing");
            if (fencing < highest) {
                interleaved++;
            }
            highest = Math.max(highest, fencing);
        }
        return interleaved;
    }

    @Override
    public void close() throws TimeoutException {
        await(vertx.close());
    }
}
