package io.lagoonseam.core.routing;

import io.lagoonseam.core.hash.Rendezvous;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Takes the worker with the lowest expected time of a small sample: some at random and, by rendezvous hashing of the
 * prompt's leading blocks, the one that probably has them cached, unless it is loaded well above the mean.
 */
public final class ScoreSelector implements WorkerSelector {

    private static final int RANDOM_CANDIDATES = 3;

    /** The age at which a load report counts half. */
    private static final double REPORT_HALF_LIFE_MILLIS = 500;

    /** The time that a full worker adds to a request. */
    private static final double FULL_LOAD_MILLIS = 300;

    private static final double PREFILL_MILLIS_PER_BLOCK = 1.5;
    private static final double EXPECTED_DECODE_MILLIS = 300;
    private static final double LOAD_BOUND_FACTOR = 1.25;

    private final RandomGenerator random;
    private final PrefixCacheView cache;

    /** What is known of the workers' prefix caches. */
    @FunctionalInterface
    public interface PrefixCacheView {

        /**
         * Returns how many leading blocks of a prompt a worker probably holds.
         *
         * @param worker the worker's name
         * @param prefix the blocks of the prompt
         * @return blocks from the first one without a gap
         */
        int cachedBlocks(String worker, PromptPrefix prefix);
    }

    /**
     * Creates a selector.
     *
     * @param random the source of choices
     * @param cache what is known of the workers' prefix caches
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
        List<WorkerState> open = workers.stream().filter(WorkerState::hasRoom).toList();
        if (open.isEmpty()) {
            return Optional.empty();
        }
        WorkerState best = preferred(request.prefix(), open);
        double bestScore = best == null ? Double.POSITIVE_INFINITY : score(request, best);
        for (int draw = 0; draw < RANDOM_CANDIDATES; draw++) {
            WorkerState candidate = open.get(random.nextInt(open.size()));
            double score = score(request, candidate);
            if (score < bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        return Optional.of(best);
    }

    private WorkerState preferred(PromptPrefix prefix, List<WorkerState> open) {
        if (prefix.blocks() == 0) {
            return null;
        }
        double totalLoad = 0;
        WorkerState highest = null;
        long highestRank = Long.MIN_VALUE;
        for (WorkerState worker : open) {
            totalLoad += load(worker);
            long rank = prefix.rank(Rendezvous.hash(worker.name()));
            if (rank > highestRank) {
                highestRank = rank;
                highest = worker;
            }
        }
        double boundLoad = LOAD_BOUND_FACTOR * (totalLoad + 1) / open.size() + 1;
        return load(highest) <= boundLoad ? highest : null;
    }

    /**
     * Returns the requests that a worker probably has.
     *
     * @param worker the worker
     * @return this node's own, and those of others by their word or by the load report, aged by its lag
     */
    public static double load(WorkerState worker) {
        if (worker.othersExchanged() >= 0) {
            return worker.inFlight() + worker.othersExchanged();
        }
        double trust = Math.pow(0.5, worker.reportAgeMillis() / REPORT_HALF_LIFE_MILLIS);
        return worker.inFlight() + trust * worker.othersReported();
    }

    private double score(RoutingRequest request, WorkerState worker) {
        PromptPrefix prefix = request.prefix();
        int cachedBlocks = prefix.blocks() == 0 ? 0 : cache.cachedBlocks(worker.name(), prefix);
        double queueMillis = FULL_LOAD_MILLIS * (load(worker) + 1) / worker.concurrency();
        double prefillMillis = PREFILL_MILLIS_PER_BLOCK * (prefix.blocks() - cachedBlocks);
        return (queueMillis + prefillMillis + EXPECTED_DECODE_MILLIS) * worker.slowFactor();
    }
}
