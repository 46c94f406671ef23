package io.lagoonseam.bench.experiment.routing;

import io.lagoonseam.core.hash.Rendezvous;
import io.lagoonseam.core.routing.PromptPrefix;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.HdrHistogram.Histogram;

/**
 * Discrete-event simulation of many nodes that route to many workers on a virtual clock: random arrivals, stale load
 * reports, exchanged in-flight sums and leases. All simulated times are in virtual milliseconds. Not thread-safe.
 */
final class RoutingModel {

    private static final int SUBSET_WORKERS = 64;

    /** The arrival rate as a share of the workers' nominal capacity. */
    private static final double LOAD = 0.85;

    private static final double DURATION_MILLIS = 12_000;
    private static final double WARM_UP_MILLIS = 3_000;
    private static final double REPORT_LAG_MILLIS = 200;
    private static final double POLL_MILLIS = 500;
    private static final double EXCHANGE_MILLIS = 250;
    private static final double LEASE_MILLIS = 250;
    private static final int LEASED_SLOTS = 20;
    private static final int PREFIXES = 60;
    private static final int PREFIX_TEXT_COPIES = 60;

    /** The mean of the normally distributed natural logarithm of the answer length in tokens. */
    private static final double LOG_MEAN_TOKENS = 3.4;

    /** The standard deviation of the same logarithm. */
    private static final double LOG_DEVIATION = 0.7;

    /** The mean time for which a request occupies a batch slot; determines the nominal capacity. */
    private static final double MEAN_REQUEST_MILLIS = 430;

    private static final int HISTOGRAM_DIGITS = 3;

    private final RoutingStrategy strategy;
    private final Random random;
    private final List<ModelledWorker> workers = new ArrayList<>();
    private final List<ModelledNode> nodes = new ArrayList<>();
    private final List<PromptPrefix> prefixes = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis));
    private final Histogram firstTokenMicros = new Histogram(HISTOGRAM_DIGITS);
    private final double arrivalsPerMilli;
    private long requests;
    private long prefixHits;
    private long decisionNanos;
    private double nowMillis;

    private record Event(double atMillis, Runnable action) {}

    /**
     * The measurements of one run after its warm-up.
     *
     * @param requests the number of measured requests
     * @param firstTokenMillis the 50th, 95th and 99th percentile of the time to the first token, in virtual
     *     milliseconds
     * @param hitShare the share of requests whose prefix was cached at the worker, from 0 to 1
     * @param decisionMicros the time spent on routing decisions in the whole run, divided by the measured requests, in
     *     microseconds of real time on this machine
     */
    record Outcome(long requests, double[] firstTokenMillis, double hitShare, double decisionMicros) {}

    RoutingModel(RoutingStrategy strategy, int nodeCount, int workerCount, long seed) {
        this.strategy = strategy;
        this.random = new Random(seed);
        this.arrivalsPerMilli = LOAD * workerCount * ModelledWorker.BATCH_SLOTS / MEAN_REQUEST_MILLIS;
        List<Integer> workerNumbers = new ArrayList<>();
        for (int worker = 0; worker < workerCount; worker++) {
            workers.add(new ModelledWorker(Integer.toString(worker)));
            workerNumbers.add(worker);
        }
        for (int node = 0; node < nodeCount; node++) {
            int[] subset =
                    Rendezvous.subset("node-" + node, workerNumbers, worker -> "worker-" + worker, SUBSET_WORKERS)
                            .stream()
                            .mapToInt(Integer::intValue)
                            .toArray();
            nodes.add(new ModelledNode(strategy, workers, subset, new Random(random.nextLong())));
        }
        for (int prefix = 0; prefix < PREFIXES; prefix++) {
            prefixes.add(PromptPrefix.of(("care guide of studio " + prefix + " ").repeat(PREFIX_TEXT_COPIES)));
        }
    }

    Outcome run() {
        scheduleEvery(REPORT_LAG_MILLIS, () -> workers.forEach(ModelledWorker::updateReport));
        nodes.forEach(node -> scheduleEvery(POLL_MILLIS, () -> node.readLoadReports(nowMillis)));
        if (strategy.exchanging()) {
            scheduleEvery(EXCHANGE_MILLIS, this::exchangeInFlightSums);
        }
        if (strategy.leased()) {
            scheduleEvery(LEASE_MILLIS, this::assignLeases);
        }
        scheduleArrival();
        while (!events.isEmpty() && events.peek().atMillis() < DURATION_MILLIS) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.action().run();
        }
        double[] percentiles = {percentile(50), percentile(95), percentile(99)};
        return new Outcome(requests, percentiles, (double) prefixHits / requests, decisionNanos / 1e3 / requests);
    }

    private double percentile(double value) {
        return firstTokenMicros.getValueAtPercentile(value) / 1e3;
    }

    private void schedule(double millis, Runnable action) {
        events.add(new Event(millis, action));
    }

    private void scheduleEvery(double intervalMillis, Runnable action) {
        schedule(random.nextDouble() * intervalMillis, () -> runAndReschedule(intervalMillis, action));
    }

    private void runAndReschedule(double intervalMillis, Runnable action) {
        action.run();
        schedule(nowMillis + intervalMillis, () -> runAndReschedule(intervalMillis, action));
    }

    private void scheduleArrival() {
        schedule(nowMillis - Math.log(1 - random.nextDouble()) / arrivalsPerMilli, this::processArrival);
    }

    private void processArrival() {
        int node = random.nextInt(nodes.size());
        double popularity = random.nextDouble();
        PromptPrefix prefix = prefixes.get((int) (popularity * popularity * PREFIXES));
        int tokens = (int) Math.max(3, Math.exp(LOG_MEAN_TOKENS + LOG_DEVIATION * random.nextGaussian()));
        nodes.get(node).enqueue(new ModelledRequest(node, nowMillis, prefix, tokens));
        send(node);
        scheduleArrival();
    }

    private void send(int node) {
        long startNanos = System.nanoTime();
        ModelledRequest request = nodes.get(node).sendNext(nowMillis);
        decisionNanos += System.nanoTime() - startNanos;
        if (request != null) {
            workers.get(request.worker()).enqueue(request);
            startNext(request.worker());
            send(node);
        }
    }

    private void startNext(int worker) {
        ModelledRequest started = workers.get(worker).startNext(nowMillis);
        if (started != null) {
            measure(started);
            schedule(started.endMillis(), () -> finish(started));
        }
    }

    private void measure(ModelledRequest request) {
        if (nowMillis >= WARM_UP_MILLIS) {
            requests++;
            prefixHits += request.prefixHit() ? 1 : 0;
            firstTokenMicros.recordValue(Math.round(request.firstTokenMillis() * 1e3));
        }
    }

    private void finish(ModelledRequest request) {
        workers.get(request.worker()).finish();
        nodes.get(request.node()).recordFinish(request, nowMillis);
        startNext(request.worker());
        send(request.node());
    }

    private void exchangeInFlightSums() {
        for (int worker = 0; worker < workers.size(); worker++) {
            int total = 0;
            for (ModelledNode node : nodes) {
                total += node.inFlight(worker);
            }
            for (ModelledNode node : nodes) {
                node.setExchangedLoad(worker, total - node.inFlight(worker));
            }
        }
    }

    /**
     * Divides each worker's slots over the nodes that use it in proportion to their demand. The slots of a node are
     * rounded down and the remainder, which starts at a random fraction, is carried to the next node.
     */
    private void assignLeases() {
        double[] demands = nodes.stream().mapToDouble(ModelledNode::takeDemand).toArray();
        for (int worker = 0; worker < workers.size(); worker++) {
            assignLeasesOf(worker, demands);
        }
        for (int node = 0; node < nodes.size(); node++) {
            send(node);
        }
    }

    private void assignLeasesOf(int worker, double[] demands) {
        List<Integer> users = new ArrayList<>();
        double total = 0;
        for (int node = 0; node < nodes.size(); node++) {
            for (int used : nodes.get(node).subset()) {
                if (used == worker) {
                    users.add(node);
                    total += demands[node];
                }
            }
        }
        double fraction = random.nextDouble();
        for (int node : users) {
            fraction += LEASED_SLOTS * demands[node] / total;
            int slots = (int) fraction;
            fraction -= slots;
            nodes.get(node).setLeasedSlots(worker, slots);
        }
    }
}
