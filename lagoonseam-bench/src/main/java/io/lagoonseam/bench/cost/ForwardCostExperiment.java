package io.lagoonseam.bench.cost;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.lagoonseam.bench.deployment.LocalDeployment;
import io.lagoonseam.bench.experiment.Experiment;
import io.lagoonseam.bench.experiment.ExperimentContext;
import io.lagoonseam.bench.experiment.ExperimentResult;
import io.lagoonseam.core.audit.DecisionLog;
import io.lagoonseam.core.time.SystemTimeSource;
import io.lagoonseam.entry.log.JsonLineLog;
import io.lagoonseam.standin.worker.WorkerOptions;
import io.lagoonseam.standin.worker.WorkerStandIn;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Measures the CPU time of one forwarded request and of one streamed event, in microseconds and as a ratio to a bare
 * forwarder that decides nothing, and the share of it that the log takes.
 *
 * <p>Sends plain requests and streams to stand-in workers. The bare forwarder, a node without a log and a node with a
 * log are loaded by the same callers in the same run, in turns.
 */
public final class ForwardCostExperiment implements Experiment {

    private static final int ROUNDS = 5;

    /** Requests per second; at this rate a node's timers cost little compared with the requests. */
    private static final double PLAIN_REQUESTS_PER_SECOND = 1_500;

    private static final long PLAIN_REQUESTS = 4_500;

    /**
     * Requests per second when the log's share is measured. The log writes three lines for each request, which at this
     * rate are within its line budget, so that no line is dropped.
     */
    private static final double LOGGED_REQUESTS_PER_SECOND = 130;

    private static final long LOGGED_REQUESTS = 520;
    private static final double STREAMS_PER_SECOND = 80;
    private static final long STREAMS = 160;
    private static final int SHORT_EVENTS = 8;
    private static final int LONG_EVENTS = 128;

    /** Requests before the measurements, so that the JIT compiler has compiled the code. */
    private static final long WARM_UP_REQUESTS = 12_000;

    private static final double WARM_UP_REQUESTS_PER_SECOND = 3_000;
    private static final long WARM_UP_STREAMS = 600;
    private static final long TIMEOUT_SECONDS = 60;

    /** The target for the cost of a request and of an event, as a ratio to the bare forwarder. */
    private static final double TARGET_RATIO = 1.5;

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    @Override
    public String name() {
        return "forward-cost";
    }

    @Override
    public String summary() {
        return "CPU time of a forwarded request and of a streamed event, as a ratio to a bare forwarder";
    }

    /** The measured forwarders; the names appear in the results. */
    private enum Forwarder {
        BARE,
        NODE_WITHOUT_LOG,
        NODE
    }

    /**
     * One forwarder under load, with its ports and the ids of the threads other than its event loop that work for it.
     */
    private record Target(Vertx vertx, int plainPort, int streamPort, List<Long> otherThreads) {

        long cpuNanos() throws TimeoutException {
            Promise<Long> loop = Promise.promise();
            vertx.runOnContext(nothing -> loop.complete(THREADS.getCurrentThreadCpuTime()));
            long nanos = await(loop.future());
            for (long thread : otherThreads) {
                nanos += THREADS.getThreadCpuTime(thread);
            }
            return nanos;
        }
    }

    /**
     * CPU time in microseconds: of a request, of a request at the rate at which all log lines are written, of a short
     * stream, and of each further event. Printed as progress.
     */
    private record Cost(double request, double logged, double stream, double event) {}

    private static <T> T await(Future<T> future) throws TimeoutException {
        return future.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static WorkerOptions plainWorker(String id) {
        return new WorkerOptions(id, 1_000, 1_000, 1, 0, 0, 0, 0);
    }

    private static WorkerOptions engine(String id) {
        return new WorkerOptions(id, 256, 256, 0, 2, 100_000, 10_000_000, 1);
    }

    @Override
    public ExperimentResult run(ExperimentContext context) throws Exception {
        Vertx callers = Vertx.vertx();
        try (PrintStream sink = new PrintStream(new FileOutputStream("/dev/null"), false, StandardCharsets.UTF_8);
                LocalDeployment withoutLog = LocalDeployment.withLogs(name -> DecisionLog.NOOP);
                LocalDeployment withLog =
                        LocalDeployment.withLogs(name -> new JsonLineLog(name, new SystemTimeSource(), line -> {
                            sink.println(line);
                            sink.flush();
                        }))) {
            Map<Forwarder, Target> targets = new EnumMap<>(Forwarder.class);
            targets.put(Forwarder.NODE_WITHOUT_LOG, startNode(withoutLog));
            List<Long> otherLogThreadIds = logThreads();
            Target node = startNode(withLog);
            List<Long> logThreadIds = new ArrayList<>(logThreads());
            logThreadIds.removeAll(otherLogThreadIds);
            targets.put(Forwarder.NODE, new Target(node.vertx(), node.plainPort(), node.streamPort(), logThreadIds));
            WorkerStandIn plain = withoutLog.startWorker("bare-app", plainWorker("b1"));
            WorkerStandIn engine = withoutLog.startWorker("bare-llm", engine("b2"));
            BareForwarder toPlain = new BareForwarder(LocalDeployment.HOST, plain.port());
            BareForwarder toEngine = new BareForwarder(LocalDeployment.HOST, engine.port());
            int plainPort = await(toPlain.start());
            int streamPort = await(toEngine.start());
            try {
                CostMeter meter = new CostMeter(callers);
                Map<Forwarder, List<Cost>> costs = new EnumMap<>(Forwarder.class);
                targets.put(Forwarder.BARE, new Target(toPlain.vertx(), plainPort, streamPort, List.of()));
                for (Target target : targets.values()) {
                    meter.warmUp(target);
                }
                for (int round = 0; round < ROUNDS; round++) {
                    for (Forwarder forwarder : Forwarder.values()) {
                        Target target = targets.get(forwarder);
                        Target streams = forwarder == Forwarder.BARE
                                ? new Target(toEngine.vertx(), plainPort, streamPort, List.of())
                                : target;
                        Cost cost = meter.cost(target, streams);
                        costs.computeIfAbsent(forwarder, key -> new ArrayList<>())
                                .add(cost);
                        context.progress().println(forwarder + " " + cost);
                    }
                }
                return result(costs, meter.failed);
            } finally {
                await(toPlain.vertx().close());
                await(toEngine.vertx().close());
            }
        } finally {
            await(callers.close());
        }
    }

    private static Target startNode(LocalDeployment deployment) {
        deployment.startWorker("app", plainWorker("p1"));
        deployment.startWorker("llm", engine("e1"));
        deployment.configure();
        LocalDeployment.Node node = deployment.startNode();
        deployment.awaitReady(node);
        int port = node.settings().callers().port();
        return new Target(node.vertx(), port, port, List.of());
    }

    private static List<Long> logThreads() {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> "log".equals(thread.getName()))
                .map(Thread::getId)
                .toList();
    }

    /** Puts one forwarder after the other under load and measures its CPU time. */
    private static final class CostMeter {

        private final ForwardLoad plain;
        private final ForwardLoad shortStreams;
        private final ForwardLoad longStreams;
        private long failed;

        private CostMeter(Vertx callers) {
            this.plain = new ForwardLoad(callers, "/pay/x", 0);
            this.shortStreams = new ForwardLoad(callers, "/chat/short", SHORT_EVENTS);
            this.longStreams = new ForwardLoad(callers, "/chat/long", LONG_EVENTS);
        }

        private void warmUp(Target target) throws TimeoutException {
            await(plain.send(target.plainPort(), WARM_UP_REQUESTS_PER_SECOND, WARM_UP_REQUESTS));
            await(longStreams.send(target.streamPort(), 2 * STREAMS_PER_SECOND, WARM_UP_STREAMS));
        }

        private Cost cost(Target requests, Target streams) throws TimeoutException {
            double request = micros(requests, requests.plainPort(), plain, PLAIN_REQUESTS_PER_SECOND, PLAIN_REQUESTS);
            double shortStream = micros(streams, streams.streamPort(), shortStreams, STREAMS_PER_SECOND, STREAMS);
            double longStream = micros(streams, streams.streamPort(), longStreams, STREAMS_PER_SECOND, STREAMS);
            double logged = micros(requests, requests.plainPort(), plain, LOGGED_REQUESTS_PER_SECOND, LOGGED_REQUESTS);
            return new Cost(request, logged, shortStream, (longStream - shortStream) / (LONG_EVENTS - SHORT_EVENTS));
        }

        private double micros(Target target, int port, ForwardLoad load, double requestsPerSecond, long count)
                throws TimeoutException {
            long beforeNanos = target.cpuNanos();
            long complete = await(load.send(port, requestsPerSecond, count));
            failed += count - complete;
            return (target.cpuNanos() - beforeNanos) / 1e3 / count;
        }
    }

    private static Cost median(List<Cost> costs) {
        return new Cost(
                median(costs.stream().mapToDouble(Cost::request).toArray()),
                median(costs.stream().mapToDouble(Cost::logged).toArray()),
                median(costs.stream().mapToDouble(Cost::stream).toArray()),
                median(costs.stream().mapToDouble(Cost::event).toArray()));
    }

    private static double median(double... values) {
        Arrays.sort(values);
        return values[values.length / 2];
    }

    private static ExperimentResult result(Map<Forwarder, List<Cost>> costs, long failed) {
        ObjectNode fields = JsonNodeFactory.instance.objectNode();
        StringBuilder report = new StringBuilder(
                "# Cost of forwarding\n\nMedians of " + ROUNDS + " rounds, microseconds of processor time.\n\n"
                        + "| | request, " + (int) PLAIN_REQUESTS_PER_SECOND + "/s | request, "
                        + (int) LOGGED_REQUESTS_PER_SECOND
                        + "/s | stream of " + SHORT_EVENTS + " events | further event |\n|---|---|---|---|---|\n");
        Cost bare = median(costs.get(Forwarder.BARE));
        costs.forEach((forwarder, list) -> {
            Cost cost = median(list);
            fields.putObject(forwarder.name())
                    .put("requestMicros", cost.request())
                    .put("loggedRequestMicros", cost.logged())
                    .put("streamMicros", cost.stream())
                    .put("eventMicros", cost.event());
            report.append(String.format(
                    Locale.ROOT,
                    "| %s | %.1f (%.2f) | %.1f (%.2f) | %.1f (%.2f) | %.2f (%.2f) |%n",
                    forwarder.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                    cost.request(),
                    cost.request() / bare.request(),
                    cost.logged(),
                    cost.logged() / bare.logged(),
                    cost.stream(),
                    cost.stream() / bare.stream(),
                    cost.event(),
                    cost.event() / bare.event()));
        });
        Cost node = median(costs.get(Forwarder.NODE));
        Cost nodeWithoutLog = median(costs.get(Forwarder.NODE_WITHOUT_LOG));
        double logShare = (node.logged() - nodeWithoutLog.logged()) / node.logged();
        fields.put("logShareOfRequest", logShare);
        fields.put("aimedRatio", TARGET_RATIO);
        fields.put("unanswered", failed);
        report.append(String.format(
                Locale.ROOT,
                "%nIn brackets the ratio to the bare forwarder; the aim is %.1f. The log takes %.3f of a request at the lower rate.%n"
                        + "Requests without a whole answer: %d.%n",
                TARGET_RATIO,
                logShare,
                failed));
        return new ExperimentResult(fields, report.toString(), failed);
    }
}
