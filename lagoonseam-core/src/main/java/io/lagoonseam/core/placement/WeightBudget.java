package io.lagoonseam.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Allows loads within the weight store's rate. A load that failed is tried again after a backoff with full jitter, so
 * that engines that return together do not load together. Not thread-safe.
 */
public final class WeightBudget {

    private static final long BASE_BACKOFF_MILLIS = 1_000;
    private static final long MOST_BACKOFF_MILLIS = 60_000;
    private static final int MOST_DOUBLINGS = 6;

    private final int mostLoads;
    private final RandomGenerator random;
    private final Map<String, Failure> failures = new HashMap<>();

    /**
     * Creates a budget.
     *
     * @param mostLoads the most loads at once
     * @param random the source of jitter
     */
    public WeightBudget(int mostLoads, RandomGenerator random) {
        this.mostLoads = mostLoads;
        this.random = random;
    }

    private record Failure(int count, long notBeforeMillis) {}

    /**
     * Returns whether an engine may load now.
     *
     * @param engine the engine's name
     * @param loading the engines that load now
     * @param nowMillis the monotonic time
     * @return whether there is room and no backoff
     */
    public boolean allows(String engine, int loading, long nowMillis) {
        Failure failure = failures.get(engine);
        return loading < mostLoads && (failure == null || nowMillis >= failure.notBeforeMillis());
    }

    /**
     * Counts a failed load.
     *
     * @param engine the engine's name
     * @param nowMillis the monotonic time
     */
    public void failed(String engine, long nowMillis) {
        int count = failures.containsKey(engine) ? failures.get(engine).count() + 1 : 1;
        long ceilingMillis = Math.min(MOST_BACKOFF_MILLIS, BASE_BACKOFF_MILLIS << Math.min(count, MOST_DOUBLINGS));
        failures.put(engine, new Failure(count, nowMillis + random.nextLong(ceilingMillis)));
    }

    /**
     * Forgets the failures of an engine whose load succeeded.
     *
     * @param engine the engine's name
     */
    public void succeeded(String engine) {
        failures.remove(engine);
    }

    /**
     * Returns the failed loads of an engine since its last success.
     *
     * @param engine the engine's name
     * @return loads
     */
    public int failures(String engine) {
        return failures.containsKey(engine) ? failures.get(engine).count() : 0;
    }
}
