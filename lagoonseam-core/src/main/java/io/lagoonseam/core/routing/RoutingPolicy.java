package io.lagoonseam.core.routing;

import java.util.function.Function;
import java.util.random.RandomGenerator;

/** How the workers of a service are chosen and limited. */
public interface RoutingPolicy {

    /**
     * Creates the choice of one service.
     *
     * @param random the source of choices
     * @param cache what is known of the workers' prefix caches
     * @return the choice
     */
    WorkerSelector selector(RandomGenerator random, ScoreSelector.PrefixCacheView cache);

    /**
     * Returns whether limits adapt and unfit workers are set aside.
     *
     * @return false to send each worker as much as the file set allows
     */
    boolean adaptive();

    /**
     * Returns the policy that the daemon runs.
     *
     * @return the score over adaptive limits
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
     * Returns a policy with fixed limits, for comparison.
     *
     * @param selector creates the choice from a source of randomness
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
