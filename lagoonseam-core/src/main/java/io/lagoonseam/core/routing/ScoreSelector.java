package io.lagoonseam.core.routing;

import io.lagoonseam.core.hash.Rendezvous;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Selects the worker with the lowest expected response time from a small sample. The sample consists of three random
 * workers and of the worker with the highest affinity to the prompt, which has probably cached its leading blocks. The
 * latter is left out if its load exceeds 1.25 times the mean load plus one request, where the mean includes the new
 * request.
 */
public final class ScoreSelector implements WorkerSelector {

    private static final int RANDOM_CANDIDATES = 3;

    /** Age in milliseconds at which the weight of a load report has dropped to one half. */
    private static final double REPORT_HALF_LIFE_MILLIS = 500;

    /** Expected queueing time in milliseconds at a worker that runs at its concurrency limit. */
    private static final double FULL_LOAD_MILLIS = 300;

    private static final double PREFILL_MILLIS_PER_BLOCK = 1.5;
    private static final double EXPECTED_DECODE_MILLIS = 300;
    private static final double LOAD_BOUND_FACTOR = 1.25;

    private final RandomGenerator random;
    private final PrefixCacheView cache;

    /** View of the workers' prefix caches. */
    @FunctionalInterface
    public interface PrefixCacheView {

        /**
         * Returns the length of the cached prefix of a prompt at a worker.
         *
         * @param worker the worker's name
         * @param prefix the leading blocks of the prompt
         * @return the number of consecutive blocks that are probably cached, counted from the first
         */
        int cachedBlocks(String worker, PromptPrefix prefix);
    }

    /**
     * Creates a selector.
     *
     * @param random the source of random numbers
     * @param cache the view of the workers' prefix caches
     */
    public ScoreSelector(RandomGenerator random, PrefixCacheView cache) {
        this.random = random;
        this.cache = cache;
    }

    @Override
    public Optional<WorkerState> select(List<WorkerState> workers) {
        return select(RoutingRequest.withoutPrompt(null, Set.of()), workers);
    }

    @Override
    public Optional<WorkerState> select(RoutingRequest request, List<WorkerState> workers) {
        List<WorkerState> available =
                workers.stream().filter(WorkerState::hasRoom).toList();
        if (available.isEmpty()) {
            return Optional.empty();
        }
        WorkerState best = affinityCandidate(request.prefix(), available);
        double bestScore = best == null ? Double.POSITIVE_INFINITY : score(request, best);
        for (int draw = 0; draw < RANDOM_CANDIDATES; draw++) {
            WorkerState candidate = available.get(random.nextInt(available.size()));
            double score = score(request, candidate);
            if (score < bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        return Optional.of(best);
    }

    private WorkerState affinityCandidate(PromptPrefix prefix, List<WorkerState> available) {
        if (prefix.blocks() == 0) {
            return null;
        }
        double totalLoad = 0;
        WorkerState preferred = null;
        long highestAffinity = Long.MIN_VALUE;
        for (WorkerState worker : available) {
            totalLoad += load(worker);
            long affinity = prefix.affinity(Rendezvous.hash(worker.name()));
            if (affinity > highestAffinity) {
                highestAffinity = affinity;
                preferred = worker;
            }
        }
        double maxLoad = LOAD_BOUND_FACTOR * (totalLoad + 1) / available.size() + 1;
        return load(preferred) <= maxLoad ? preferred : null;
    }

    /**
     * Returns the estimated number of requests at a worker.
     *
     * @param worker the worker
     * @return the requests of this node plus those of other nodes; the latter as exchanged between the nodes or, if
     *     that is unknown, as in the last load report, discounted by its age
     */
    public static double load(WorkerState worker) {
        if (worker.exchangedOtherRequests() >= 0) {
            return worker.inFlight() + worker.exchangedOtherRequests();
        }
        double reportWeight = Math.pow(0.5, worker.reportAgeMillis() / REPORT_HALF_LIFE_MILLIS);
        return worker.inFlight() + reportWeight * worker.reportedOtherRequests();
    }

    private double score(RoutingRequest request, WorkerState worker) {
        PromptPrefix prefix = request.prefix();
        int cachedBlocks = prefix.blocks() == 0 ? 0 : cache.cachedBlocks(worker.name(), prefix);
        double queueMillis = FULL_LOAD_MILLIS * (load(worker) + 1) / worker.concurrency();
        double prefillMillis = PREFILL_MILLIS_PER_BLOCK * (prefix.blocks() - cachedBlocks);
        return (queueMillis + prefillMillis + EXPECTED_DECODE_MILLIS) * worker.slowFactor();
    }
}
