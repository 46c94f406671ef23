package io.lagoonseam.core.placement;

import io.lagoonseam.core.lock.LockRank;
import io.lagoonseam.core.lock.RankedLock;
import io.lagoonseam.core.time.TimeSource;
import java.util.HashMap;
import java.util.Map;

/** The rate of requests by model, as an average that forgets. */
public final class ModelDemand {

    private static final double FORGET_MILLIS = 5_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final RankedLock lock = new RankedLock(LockRank.PLACEMENT);
    private final Map<String, Rate> rates = new HashMap<>();
    private final TimeSource time;

    /**
     * Creates a demand of nothing.
     *
     * @param time the clocks
     */
    public ModelDemand(TimeSource time) {
        this.time = time;
    }

    private record Rate(double requestsPerSecond, long atMillis) {

        private Rate at(long nowMillis) {
            double kept = Math.exp(-(nowMillis - atMillis) / FORGET_MILLIS);
            return new Rate(requestsPerSecond * kept, nowMillis);
        }

        private Rate plusOne() {
            return new Rate(requestsPerSecond + MILLIS_PER_SECOND / FORGET_MILLIS, atMillis);
        }
    }

    /**
     * Counts a request.
     *
     * @param model the model that it names
     */
    public void record(String model) {
        long nowMillis = time.monotonicMillis();
        lock.run(() -> {
            Rate before = rates.getOrDefault(model, new Rate(0, nowMillis));
            rates.put(model, before.at(nowMillis).plusOne());
        });
    }

    /**
     * Returns the rates.
     *
     * @return requests a second by model
     */
    public Map<String, Double> requestsPerSecond() {
        long nowMillis = time.monotonicMillis();
        Map<String, Double> now = new HashMap<>();
        lock.run(() ->
                rates.forEach((model, rate) -> now.put(model, rate.at(nowMillis).requestsPerSecond())));
        return now;
    }
}
