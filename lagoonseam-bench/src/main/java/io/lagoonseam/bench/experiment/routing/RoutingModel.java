package io.lagoonseam.bench.experiment.routing;

import io.lagoonseam.core.hash.Rendezvous;
import io.lagoonseam.core.routing.PromptPrefix;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.HdrHistogram.Histogram;

/** Many nodes before many workers on a virtual clock: arrivals, stale reports, exchanged sums and leases. */
final class RoutingModel {

    private static final int SUBSET_WORKERS = 64;
    private static final double LOAD = 0.85;
    private static final double DURATION_MILLIS = 12_000;
    private static final double WARM_UP_MILLIS = 3_000;
    private static final double REPORT_LAG_MILLIS = 200;
    private static final double POLL_MILLIS = 500;
    private static final double EXCHANGE_MILLIS = 250;
    private static final double LEASE_MILLIS = 250;
    private static final int LEASED_SLOTS = 20;
    private static final int PREFIXES = 60;
    private static final int PREFIX_REPEATS = 60;
    private static final double LOG_MEAN_TOKENS = 3.4;
    private static final double LOG_DEVIATION = 0.7;
    private static final double MEAN_REQUEST_MILLIS = 430;
    private static final int DIGITS = 3;

    private final RoutingWay way;
    private final Random random;
    private final List<ModelledWorker> workers = new ArrayList<>();
    private final List<ModelledNode> nodes = new ArrayList<>();
    private final List<PromptPrefix> prefixes = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis));
    private final Histogram firstTokenMicros = new Histogram(DIGITS);
    private final double arrivalsPerMilli;
    private long requests;
    private long hits;
    private long decisionNanos;
    private double nowMillis;

    private record Event(double atMillis, Runnable action) {}

    /**
     * What a run showed.
     *
     * @param requests the requests that were measured
     * @param firstTokenMillis the median, the 95th and the 99th percentile of the time to the first token
     * @param hitShare the share of requests whose prefix was cached
     * @param decisionMicros the mean time of one decision, on this machine
     */
    record Outcome(long requests, double[] firstTokenMillis, double hitShare, double decisionMicros) {}

    RoutingModel(RoutingWay way, int nodeCount, int workerCount, long seed) {
        this.way = way;
        this.random = new Random(seed);
        this.arrivalsPerMilli = LOAD * workerCount * ModelledWorker.BATCH / MEAN_REQUEST_MILLIS;
        List<Integer> numbers = new ArrayList<>();
        for (int worker = 0; worker < workerCount; worker++) {
            workers.add(new ModelledWorker(Integer.toString(worker)));
            numbers.add(worker);
        }
        for (int node = 0; node < nodeCount; node++) {
            int[] subset =
                    Rendezvous.subset("node-" + node, numbers, worker -> "worker-" + worker, SUBSET_WORKERS).stream()
                            .mapToInt(Integer::intValue)
                            .toArray();
            nodes.add(new ModelledNode(way, workers, subset, new Random(random.nextLong())));
        }
        for (int prefix = 0; prefix < PREFIXES; prefix++) {
            prefixes.add(PromptPrefix.of(("care guide of studio " + prefix + " ").repeat(PREFIX_REPEATS)));
        }
    }

    Outcome run() {
        every(REPORT_LAG_MILLIS, () -> workers.forEach(ModelledWorker::report));
        nodes.forEach(node -> every(POLL_MILLIS, () -> node.poll(nowMillis)));
        if (way.exchanging()) {
            every(EXCHANGE_MILLIS, this::exchange);
        }
        if (way.leased()) {
            every(LEASE_MILLIS, this::lease);
        }
        arriveLater();
        while (!events.isEmpty() && events.peek().atMillis() < DURATION_MILLIS) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.action().run();
        }
        double[] percentiles = {percentile(50), percentile(95), percentile(99)};
        return new Outcome(requests, percentiles, (double) hits / requests, decisionNanos / 1e3 / requests);
    }

    private double percentile(double value) {
        return firstTokenMicros.getValueAtPercentile(value) / 1e3;
    }

    private void at(double millis, Runnable action) {
        events.add(new Event(millis, action));
    }

    private void every(double intervalMillis, Runnable action) {
        at(random.nextDouble() * intervalMillis, () -> repeat(intervalMillis, action));
    }

    private void repeat(double intervalMillis, Runnable action) {
        action.run();
        at(nowMillis + intervalMillis, () -> repeat(intervalMillis, action));
    }

    private void arriveLater() {
        at(nowMillis - Math.log(1 - random.nextDouble()) / arrivalsPerMilli, this::arrive);
    }

    private void arrive() {
        int node = random.nextInt(nodes.size());
        double popularity = random.nextDouble();
        PromptPrefix prefix = prefixes.get((int) (popularity * popularity * PREFIXES));
        int tokens = (int) Math.max(3, Math.exp(LOG_MEAN_TOKENS + LOG_DEVIATION * random.nextGaussian()));
        nodes.get(node).arrived(new ModelledRequest(node, nowMillis, prefix, tokens));
        send(node);
        arriveLater();
    }

    private void send(int node) {
        long startNanos = System.nanoTime();
        ModelledRequest request = nodes.get(node).sendNext(nowMillis);
        decisionNanos += System.nanoTime() - startNanos;
        if (request != null) {
            workers.get(request.worker()).add(request);
            startNext(request.worker());
            send(node);
        }
    }

    private void startNext(int worker) {
        ModelledRequest started = workers.get(worker).startNext(nowMillis);
        if (started != null) {
            measure(started);
            at(started.endMillis(), () -> finish(started));
        }
    }

    private void measure(ModelledRequest request) {
        if (nowMillis >= WARM_UP_MILLIS) {
            requests++;
            hits += request.hit() ? 1 : 0;
            firstTokenMicros.recordValue(Math.round(request.firstTokenMillis() * 1e3));
        }
    }

    private void finish(ModelledRequest request) {
        workers.get(request.worker()).finish();
        nodes.get(request.node()).finished(request, nowMillis);
        startNext(request.worker());
        send(request.node());
    }

    private void exchange() {
        for (int worker = 0; worker < workers.size(); worker++) {
            int total = 0;
            for (ModelledNode node : nodes) {
                total += node.inFlight(worker);
            }
            for (ModelledNode node : nodes) {
                node.exchanged(worker, total - node.inFlight(worker));
            }
        }
    }

    /** Divides each worker's slots by largest remainders over the nodes that use it. */
    private void lease() {
        double[] demands = nodes.stream().mapToDouble(ModelledNode::takeDemand).toArray();
        for (int worker = 0; worker < workers.size(); worker++) {
            leaseOf(worker, demands);
        }
        for (int node = 0; node < nodes.size(); node++) {
            send(node);
        }
    }

    private void leaseOf(int worker, double[] demands) {
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
        double carried = random.nextDouble();
        for (int node : users) {
            carried += LEASED_SLOTS * demands[node] / total;
            int slots = (int) carried;
            carried -= slots;
            nodes.get(node).lease(worker, slots);
        }
    }
}
