package io.lagoonseam.bench.soak;

import io.lagoonseam.bench.fleet.FreePorts;
import io.lagoonseam.bench.soak.SoakLog.Drain;
import io.lagoonseam.bench.soak.SoakLog.LimitChange;
import io.lagoonseam.bench.soak.SoakLog.NodeAction;
import io.lagoonseam.bench.soak.SoakLog.NodeEvent;
import io.lagoonseam.bench.soak.SoakLog.StoreOutage;
import io.lagoonseam.standin.operator.PlatformFixtures;
import io.lagoonseam.standin.store.StoreStandIn;
import io.lagoonseam.standin.worker.WorkerOptions;
import io.lagoonseam.standin.worker.WorkerStandIn;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** One soak: nodes as processes, stand-ins of the store and of workers, callers, and faults by a seeded schedule. */
final class SoakRun implements AutoCloseable {

    /** How long an engine is down after a crash, in milliseconds. */
    private static final long CRASH_MILLIS = 900;

    private static final String KEY = "key-1";
    private static final int MIN_WORKERS = 4;
    private static final String[] VERSIONS = {"v1", "v2"};
    private static final int STREAM_CALLERS_PER_NODE = 2;
    private static final String STREAM_CALLER = "s";
    private static final int MAX_BREAK_EVENTS = 9;
    private static final int PLAIN_SLOTS = 3;
    private static final int MIN_DRAIN_MILLIS = 2_500;

    /** The start time in the records of {@link PlatformFixtures}, in milliseconds. */
    private static final long FIRST_START = 1_000;

    private static final int CALLERS_PER_NODE = 6;
    private static final int MAX_GAP_MILLIS = 2_500;
    private static final double[] LIMITS = {0.4, 1, 2.5, 6};

    /** How long the callers go on after the last fault, in milliseconds. */
    private static final long CALM_MILLIS = 6_000;

    private final Random random;
    private final long runMillis;
    private final Vertx vertx = Vertx.vertx();
    private final StoreStandIn store = new StoreStandIn(NodeProcess.HOST, 0);
    private final Map<String, WorkerStandIn> workers = new HashMap<>();
    private final Map<String, String> versionByEngine = new HashMap<>();
    private final Object drainLock = new Object();
    private final Map<String, Long> startMillisById = new HashMap<>();
    private final int plainWorkers;
    private long lastStartMillis = FIRST_START;
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private final SoakLog log = new SoakLog();
    private volatile boolean running = true;
    private volatile Exception failure;

    /**
     * The result.
     *
     * @param calls the number of requests of callers
     * @param served the number of answers with status 200
     * @param refused the number of answers with status 503
     * @param limited the number of answers that named a limit
     * @param takenUp the number of requests for the rest of a stream
     * @param configurations the number of configurations
     * @param drains the number of workers that left
     * @param crashes the number of crashes of engines under requests
     * @param lastServedShare the share of requests served after the last fault
     * @param nodeEvents what was done to the nodes
     * @param limitChanges the changes of limits
     * @param violations what was violated
     */
    record Result(
            int calls,
            long served,
            long refused,
            long limited,
            long takenUp,
            int configurations,
            int drains,
            int crashes,
            double lastServedShare,
            List<NodeEvent> nodeEvents,
            List<LimitChange> limitChanges,
            List<String> violations) {}

    SoakRun(Path folder, long seed, int nodeCount, long runMillis) throws Exception {
        this.random = new Random(seed);
        this.runMillis = runMillis;
        vertx.deployVerticle(store).await();
        inStore(() -> store.put(
                "config", "main", PlatformFixtures.configuration(4, PlatformFixtures.routes(NodeProcess.HOST), KEY)));
        plainWorkers = Math.max(MIN_WORKERS, nodeCount);
        for (int index = 0; index < plainWorkers; index++) {
            // so few slots that requests spread over the workers, and enough for all callers
            startWorker("app", "v1", new WorkerOptions("p" + index, PLAIN_SLOTS, 24, 15, 0, 0, 0, 0));
            String engine = "e" + index;
            versionByEngine.put(engine, VERSIONS[index % VERSIONS.length]);
            startWorker("llm", versionByEngine.get(engine), new WorkerOptions(engine, 12, 32, 0, 4, 500, 60_000, 4));
            workers.get(engine)
                    .setFaults(new JsonObject()
                            .put("namesItself", true)
                            .put("breakIdPrefix", STREAM_CALLER)
                            .put("crashPart", SoakCrashCaller.CRASH_PART)
                            .put("crashText", SoakCrashCaller.CRASH_TEXT)
                            .put("crashMillis", CRASH_MILLIS));
            breakStreams(engine, 1 + random.nextInt(MAX_BREAK_EVENTS));
        }
        int peerPort = FreePorts.findTwo();
        for (int index = 0; index < nodeCount; index++) {
            NodeProcess node = new NodeProcess(folder, index, peerPort, store.port(), NodeProcess.STOP_SECONDS);
            nodes.add(node);
            node.start();
        }
        for (NodeProcess node : nodes) {
            node.awaitReady();
        }
        for (int index = 0; index < nodeCount * CALLERS_PER_NODE; index++) {
            int node = index % nodeCount;
            threads.add(new Thread(new SoakCaller(
                    "c" + index,
                    node,
                    NodeProcess.HOST,
                    nodes.get(node).callerPort(),
                    KEY,
                    log,
                    random.nextLong(),
                    () -> running)));
        }
        List<Integer> ports = nodes.stream().map(NodeProcess::callerPort).toList();
        for (int index = 0; index < nodeCount * STREAM_CALLERS_PER_NODE; index++) {
            threads.add(new Thread(
                    new SoakStreamCaller(STREAM_CALLER + index, ports, KEY, log, random.nextLong(), () -> running)));
        }
        for (SoakCrashCaller.CrashKind kind : SoakCrashCaller.CrashKind.values()) {
            threads.add(new Thread(new SoakCrashCaller(kind, ports, KEY, log, random.nextLong(), () -> running)));
        }
        threads.add(new Thread(new SoakOperator(store, KEY, log, random.nextLong(), () -> running)));
        for (int index = 0; index < nodeCount; index++) {
            threads.add(new Thread(new SoakProbe(index, ports.get(index), KEY, log, random.nextLong(), () -> running)));
        }
    }

    private void inStore(Runnable change) {
        store.runOnEventLoop(change);
    }

    private void startWorker(String service, String version, WorkerOptions options) {
        WorkerStandIn worker = new WorkerStandIn(NodeProcess.HOST, 0, options, 1);
        vertx.deployVerticle(worker).await();
        workers.put(options.id(), worker);
        JsonObject record = PlatformFixtures.worker(
                service, version, NodeProcess.HOST + ":" + worker.port(), options.slots(), "ready");
        inStore(() -> store.put("servers", options.id(), record));
    }

    Result run() throws Exception {
        threads.forEach(Thread::start);
        long endMillis = SoakLog.nowMillis() + runMillis;
        List<Thread> actions = new ArrayList<>();
        while (SoakLog.nowMillis() < endMillis) {
            TimeUnit.MILLISECONDS.sleep(200 + random.nextInt(MAX_GAP_MILLIS));
            if (random.nextInt(3) == 0) {
                breakStreams(1 + random.nextInt(MAX_BREAK_EVENTS));
            }
            if (random.nextInt(4) == 0) {
                actions.add(drain("p" + random.nextInt(plainWorkers), MIN_DRAIN_MILLIS + random.nextInt(4_000)));
            }
            if (random.nextInt(4) == 0) {
                actions.add(storeFault(random.nextBoolean() ? "busy" : "silent", 300 + random.nextInt(4_000)));
            }
            if (random.nextInt(3) == 0) {
                changeLimit();
            } else {
                actions.add(act(random.nextInt(nodes.size()), random.nextInt(10), 300 + random.nextInt(4_000)));
            }
        }
        for (Thread action : actions) {
            action.join();
        }
        long calmMillis = SoakLog.nowMillis();
        workers.forEach((id, worker) -> setLimit(id, Double.POSITIVE_INFINITY));
        versionByEngine.keySet().forEach(id -> breakStreams(id, Integer.MAX_VALUE));
        TimeUnit.MILLISECONDS.sleep(CALM_MILLIS);
        running = false;
        for (Thread thread : threads) {
            thread.join();
        }
        if (failure != null) {
            throw failure;
        }
        return result(calmMillis);
    }

    /** Has an engine break off the streams of callers that take them up, after some events, or no longer. */
    private void breakStreams(int afterEvents) {
        List<String> ids = versionByEngine.keySet().stream().sorted().toList();
        breakStreams(ids.get(random.nextInt(ids.size())), random.nextInt(3) == 0 ? Integer.MAX_VALUE : afterEvents);
    }

    private void breakStreams(String engine, int afterEvents) {
        workers.get(engine).setFaults(new JsonObject().put("breakAfterEvents", afterEvents));
    }

    /** Has a worker of the plain service leave, and register as a new incarnation after a time. */
    private Thread drain(String id, long forMillis) {
        Thread thread = new Thread(() -> {
            synchronized (drainLock) {
                try {
                    lastStartMillis++;
                    JsonObject record = PlatformFixtures.worker(
                            "app", NodeProcess.HOST + ":" + workers.get(id).port(), PLAIN_SLOTS, "draining");
                    JsonObject next = PlatformFixtures.worker(
                                    "app",
                                    NodeProcess.HOST + ":" + workers.get(id).port(),
                                    PLAIN_SLOTS,
                                    "ready")
                            .put("born", lastStartMillis);
                    long fromMillis = register(id, record.put("born", startMillisById.getOrDefault(id, FIRST_START)));
                    TimeUnit.MILLISECONDS.sleep(forMillis);
                    startMillisById.put(id, lastStartMillis);
                    log.add(new Drain(id, fromMillis, register(id, next)));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        });
        thread.start();
        return thread;
    }

    /** Writes the record of a worker and returns when the store has accepted it. */
    private long register(String id, JsonObject record) throws InterruptedException {
        CountDownLatch written = new CountDownLatch(1);
        inStore(() -> {
            store.put("servers", id, record);
            written.countDown();
        });
        written.await();
        return SoakLog.nowMillis();
    }

    /** Has the store refuse or ignore calls for a time. */
    private Thread storeFault(String fault, long forMillis) {
        Thread thread = new Thread(() -> {
            synchronized (store) {
                try {
                    long fromMillis = SoakLog.nowMillis();
                    store.setFaults(new JsonObject().put(fault, true));
                    TimeUnit.MILLISECONDS.sleep(forMillis);
                    store.setFaults(new JsonObject().put(fault, false));
                    log.add(new StoreOutage(fromMillis, SoakLog.nowMillis()));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        });
        thread.start();
        return thread;
    }

    private void changeLimit() {
        List<String> ids = workers.keySet().stream().sorted().toList();
        String id = ids.get(random.nextInt(ids.size()));
        boolean ends = random.nextInt(4) == 0;
        setLimit(id, ends ? Double.POSITIVE_INFINITY : LIMITS[random.nextInt(LIMITS.length)]);
    }

    private void setLimit(String id, double perSecond) {
        String text = Double.isFinite(perSecond) ? Double.toString(perSecond) : "";
        workers.get(id).setFaults(new JsonObject().put("limitPerSecond", text));
        log.add(new LimitChange(id, perSecond, SoakLog.nowMillis()));
    }

    /** Does something to a node, unless something else is being done to it. */
    private Thread act(int index, int draw, long forMillis) {
        Thread thread = new Thread(() -> {
            try {
                synchronized (nodes.get(index)) {
                    act(index, action(draw), forMillis);
                }
            } catch (IOException | InterruptedException e) {
                failure = e;
            }
        });
        thread.start();
        return thread;
    }

    private static NodeAction action(int draw) {
        if (draw < 4) {
            return NodeAction.STOP;
        }
        if (draw < 6) {
            return NodeAction.RELOAD;
        }
        return draw < 8 ? NodeAction.FREEZE : NodeAction.KILL;
    }

    private void act(int index, NodeAction action, long forMillis) throws IOException, InterruptedException {
        NodeProcess node = nodes.get(index);
        long fromMillis = SoakLog.nowMillis();
        switch (action) {
            case RELOAD -> node.signal("HUP");
            case STOP -> {
                node.signal("HUP");
                node.stop();
                node.start();
                node.awaitReady();
            }
            case KILL -> {
                node.kill();
                node.start();
                node.awaitReady();
            }
            case FREEZE -> {
                node.signal("STOP");
                TimeUnit.MILLISECONDS.sleep(forMillis);
                node.signal("CONT");
            }
            default -> throw new IllegalArgumentException("unknown action " + action);
        }
        log.add(new NodeEvent(action, index, fromMillis, SoakLog.nowMillis()));
    }

    private Result result(long calmMillis) {
        Map<String, List<WorkerStandIn.Arrival>> arrivals = new HashMap<>();
        Map<String, Integer> runs = new HashMap<>();
        workers.forEach((id, worker) -> {
            arrivals.put(id, worker.arrivalRecords());
            worker.recordedRequests().forEach(run -> runs.merge(run.getString("id"), 1, Integer::sum));
        });
        Map<String, List<WorkerStandIn.Arrival>> crashesByWorker = new HashMap<>();
        workers.forEach((id, worker) -> crashesByWorker.put(id, worker.crashRecords()));
        List<String> violations = new ArrayList<>(new SoakOracle(log, arrivals, crashesByWorker, runs).check());
        violations.addAll(new StreamOracle(log, versionByEngine, runs).check());
        violations.addAll(new ConfigurationOracle(log).check());
        violations.addAll(new DrainOracle(log, arrivals).check());
        List<WorkerStandIn.Arrival> crashes =
                crashesByWorker.values().stream().flatMap(List::stream).toList();
        violations.addAll(new CrashOracle(log, arrivals, crashes).check());
        List<SoakLog.Call> calls = log.calls();
        long last = calls.stream()
                .filter(call -> call.sentMillis() > calmMillis + CALM_MILLIS / 2)
                .count();
        long lastServed = calls.stream()
                .filter(call -> call.sentMillis() > calmMillis + CALM_MILLIS / 2 && call.status() == 200)
                .count();
        return new Result(
                calls.size(),
                calls.stream().filter(call -> call.status() == 200).count(),
                calls.stream().filter(call -> call.status() == 503).count(),
                calls.stream().filter(call -> !call.limitedBy().isEmpty()).count(),
                log.streamTries().stream()
                        .filter(attempt -> attempt.afterEvent() > 0)
                        .count(),
                log.configurationChanges().size(),
                log.drains().size(),
                crashes.size(),
                last == 0 ? 0 : (double) lastServed / last,
                log.nodeEvents(),
                log.limitChanges(),
                violations);
    }

    @Override
    public void close() throws Exception {
        running = false;
        for (NodeProcess node : nodes) {
            node.close();
        }
        vertx.close().await();
    }
}
