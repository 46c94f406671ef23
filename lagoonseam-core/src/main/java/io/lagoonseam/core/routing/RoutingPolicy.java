package io.lagoonseam.core.routing;

import java.util.function.Function;
import java.util.random.RandomGenerator;

/** Policy that selects the workers of a service and limits their load. */
public interface RoutingPolicy {

    /**
     * Creates the worker selector of one service.
     *
     * @param random the source of random numbers
     * @param cache the view of the workers' prefix caches
     * @return a new selector
     */
    WorkerSelector selector(RandomGenerator random, ScoreSelector.PrefixCacheView cache);

    /**
     * Returns whether concurrency limits adapt and outlier detection ejects workers.
     *
     * @return true for adaptive limits and ejection; false to use only the concurrency configured in the file set
     */
    boolean adaptive();

    /**
     * Returns the policy used in production.
     *
     * @return a policy with {@link ScoreSelector} and adaptive limits
     */
    static RoutingPolicy standard() {
        return new RoutingPolicy() {
            @Override
            public WorkerSelector selector(RandomGenerator random, ScoreSelector.PrefixCacheView cache) {
                return new ScoreSelector(random, cache);
            }

            @Override
            public boolean adaptive() {
                return true;
            }
        };
    }

    /**
     * Returns a policy with fixed limits and without ejection, used as a baseline in experiments.
     *
     * @param selector creates the worker selector from a source of random numbers
     * @return the policy
     */
    static RoutingPolicy fixed(Function<RandomGenerator, WorkerSelector> selector) {
        return new RoutingPolicy() {
            @Override
            public WorkerSelector selector(RandomGenerator random, ScoreSelector.PrefixCacheView cache) {
                return selector.apply(random);
            }

            @Override
            public boolean adaptive() {
                return false;
            }
        };
    }
}
